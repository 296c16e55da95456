package mirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// Config sets the pace of a Follower.
type Config struct {
	// Readers is the number of nodes that watch the store; the others follow
	// them. Each watch is one call at least every WatchWait.
	Readers int
	// WatchWait is how long a watch waits for a change. A connection that went
	// silent is noticed WatchWait + Slack after the last answer, which must stay
	// well below the time in which changes are to be in force.
	WatchWait time.Duration
	// PeerWait is how long a peer holds a question for changes. Copies are followed
	// over up to three nodes in a row, each of which adds it to their age.
	PeerWait time.Duration
	// Slack is how much longer than asked for an answer may take.
	Slack time.Duration
	// Gather is how long a watch pauses after a change, so that changes that come
	// together cost one call.
	Gather time.Duration
	// Retry is the longest pause after failed calls to the store, FirstRetry the
	// shortest; it doubles with each failure. A store that turned one call away often
	// takes the next, and a process without a configuration refuses every request.
	Retry      time.Duration
	FirstRetry time.Duration
	// Stale is the age from which on a copy is no longer followed.
	Stale time.Duration
	// Outage is the time without an answer after which removals may be the
	// store's own doing: entries lapse when replicas cannot renew them.
	Outage time.Duration
	// FirstPeers is how long a node that has just started turns to its peers only, once it has a
	// first copy: the readers among them confirm theirs meanwhile.
	FirstPeers time.Duration
	// HintAfter is how long a copy may lack what another node is known to have before that node is
	// asked: a few times what a change takes over the nodes in between.
	HintAfter time.Duration
	// Return is how long after an outage entries may take to come back.
	Return time.Duration
}

// DefaultConfig is the pace for changes that are to be in force within 3 s.
func DefaultConfig() Config {
	return Config{
		Readers:    3,
		WatchWait:  1200 * time.Millisecond,
		PeerWait:   400 * time.Millisecond,
		Slack:      500 * time.Millisecond,
		Gather:     200 * time.Millisecond,
		Retry:      600 * time.Millisecond,
		FirstRetry: 40 * time.Millisecond,
		Stale:      2500 * time.Millisecond,
		Outage:     2200 * time.Millisecond,
		FirstPeers: 600 * time.Millisecond,
		HintAfter:  time.Second,
		Return:     2200 * time.Millisecond,
	}
}

// maxDoublings bounds the doubling of the pause, which its longest value ends earlier.
const maxDoublings = 8

// Change is what a reading brought.
type Change struct {
	Items []Item
	// Era is that of the items' revisions.
	Era uint64
	// AfterOutage is set when removals among the items may not mean that a
	// replica is gone.
	AfterOutage bool
	// NewEra is set when the store came back from a copy of itself: what it lacks may have been lost
	// and be written again, and what it has may have been removed since.
	NewEra bool
	// Outranked are items that were not taken, since values of a higher rank are known.
	Outranked []Item
}

// EraChange is a copy's step into another era of the store.
type EraChange struct {
	Source      string
	Former, Now Reached
	// Lost counts the items that the new era lacks, Differing those that it has otherwise or the former
	// one had not, Stood those that are the same in both.
	Lost, Differing, Stood int
	// Outranked counts the items that stayed since the new era has an older value.
	Outranked int
}

// Listener takes what happens to a copy. Its calls come from one goroutine.
type Listener interface {
	// Changed is told each change.
	Changed(Change)
	// SourceFailed and SourceBack tell that the store, or a peer that was
	// followed, does not answer or answers again.
	SourceFailed(source string, cause error)
	SourceBack(source string, after time.Duration)
	// EraChanged tells that the store came back from a copy of itself, or tells its era for the
	// first time.
	EraChanged(EraChange)
	// EraUntold tells the first of a series of answers of the store that name no era, or none that
	// can be read, while one is known.
	EraUntold(known uint64)
	// NotTaken tells the first of a series of readings that the copy did not take.
	NotTaken(NotTaken)
}

// NotTaken is a reading that stands behind what the copy has reached.
type NotTaken struct {
	Source string
	// Era and Revision are those of the reading, Reached is the copy's place.
	Era, Revision uint64
	Reached       Reached
}

// Follower keeps a Copy up to date from the store or from peers.
type Follower struct {
	config   Config
	copy     *Copy
	store    Store
	peers    Peers
	listener Listener
	now      func() core.Time

	// confirmed is when the copy was last known to be the store's newest state,
	// on this node's clock; 0 is never.
	confirmed atomic.Int64
	counts    counts
	// hinted is a node that has something of a higher rank than this one.
	hinted atomic.Pointer[hint]
	stop   context.CancelFunc
	done   sync.WaitGroup

	// The rest is used by the following goroutine alone.
	failedSince  core.Time
	failures     int
	storeRetryAt core.Time
	// peersUntil is until when only readers turn to the store.
	peersUntil  core.Time
	returnUntil core.Time
	// behind is set while readings stand behind the copy, untold while the store names no era though
	// one is known.
	behind, untold bool
	// gapAt is when the store was found to lack the history behind the copy; 0 while it has it.
	gapAt core.Time
}

// storeSource is the name of the store among the sources that a Listener is told.
const storeSource = "store"

// NewFollower makes a follower; Start begins to keep the copy up to date.
func NewFollower(config Config, copied *Copy, store Store, peers Peers, listener Listener, now func() core.Time) *Follower {
	return &Follower{config: config, copy: copied, store: store, peers: peers, listener: listener, now: now, stop: func() {}}
}

// Start begins the following; Close ends it.
func (f *Follower) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.run(ctx)
	}()
}

// Close ends the following.
func (f *Follower) Close() {
	f.stop()
	f.done.Wait()
	f.store.Close()
}

// hint is another node's word that it has something of a rank, and since when that is known.
type hint struct {
	from  peer.Target
	rank  uint64
	since core.Time
}

// Hint names a node that has something of a rank which this copy lacks. It is asked only if that does not
// come in the usual way: each change is heard of by somebody before it has arrived.
func (f *Follower) Hint(from peer.Target, rank uint64) {
	one := &hint{from: from, rank: rank, since: f.now()}
	if open := f.hinted.Load(); open != nil {
		one.since = open.since
	}
	f.hinted.Store(one)
}

// followHint asks the node that was named, once the copy has lacked what it has for long enough.
func (f *Follower) followHint(ctx context.Context) {
	open := f.hinted.Load()
	reached := f.copy.Reached()
	switch {
	case open == nil || reached.Revision == 0:
	case reached.Rank >= open.rank:
		f.hinted.Store(nil)
	case f.now()-open.since >= f.config.HintAfter:
		f.hinted.Store(nil)
		f.readPeer(ctx, open.from, 0)
	}
}

// Age is how long ago the copy was confirmed; false when it never was.
func (f *Follower) Age() (time.Duration, bool) {
	confirmed := core.Time(f.confirmed.Load())
	if confirmed == 0 {
		return 0, false
	}
	return f.now() - confirmed, true
}

// counts are the counts of a Follower, read by others while it runs.
type counts struct{ storeCalls, storeFailures, peerReads, lagMs, notTaken, eraChanges atomic.Int64 }

// Counts says what keeping the copy up to date took so far.
type Counts struct {
	// StoreCalls counts the readings tried at the store, each one call or, for a whole
	// copy, one for each page; StoreFailures those that failed.
	StoreCalls, StoreFailures int64
	// PeerReads counts the readings of other nodes' copies that succeeded.
	PeerReads int64
	// NotTaken counts the readings that stood behind what the copy has reached.
	NotTaken int64
	// EraChanges counts the eras of the store that the copy went over to.
	EraChanges int64
	// Lag is how old the last reading was when it came: about 0 from the store, what the
	// nodes in between add to it otherwise.
	Lag time.Duration
}

// Counts returns the counts so far.
func (f *Follower) Counts() Counts {
	return Counts{
		StoreCalls: f.counts.storeCalls.Load(), StoreFailures: f.counts.storeFailures.Load(), PeerReads: f.counts.peerReads.Load(),
		NotTaken: f.counts.notTaken.Load(), EraChanges: f.counts.eraChanges.Load(),
		Lag: time.Duration(f.counts.lagMs.Load()) * time.Millisecond,
	}
}

// run reads again and again. A node that is not a reader follows peers, and turns
// to the store itself when none of them has a fresh copy; a reader that the store
// turns away follows peers until it may try again.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.followHint(ctx)
		sources, role := f.peers.Sources(f.config.Readers)
		// A process that has just started reads the store itself: after the loss of
		// all nodes its peers know as little, and every request is refused while they are asked in turn.
		if len(sources) == 0 || f.copy.UpTo() == 0 {
			role = Reader
		}
		if role == Reader && f.now() >= f.storeRetryAt {
			f.readStore(ctx, role)
			continue
		}
		if f.readPeers(ctx, sources, role) {
			continue
		}
		if f.now() >= max(f.storeRetryAt, f.peersUntil) {
			f.readStore(ctx, role)
			continue
		}
		wait.For(ctx, max(f.storeRetryAt, f.peersUntil)-f.now())
	}
}

// cutFrom is the number of changes from which on an answer may have been cut: the users'
// store gives 500 at a time.
const cutFrom = 400

// readStore reads until the copy is the store's newest state. While hundreds of replicas
// start, that takes several calls. A node that turns to the store only when all readers are
// cut off would otherwise take a part of the changes for all of them, and the next part only when
// that is stale: a configuration behind such a row of changes would be in force too late.
func (f *Follower) readStore(ctx context.Context, role Role) {
	for f.readOnce(ctx, role) {
	}
}

// readOnce makes one call, or those of a whole reading. It reports whether there is more to
// read at once.
func (f *Follower) readOnce(ctx context.Context, role Role) bool {
	started := f.now()
	first := f.copy.UpTo() == 0
	f.counts.storeCalls.Add(1)
	delta, err := f.fromStore(ctx, role)
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, errLeftToReaders) {
		f.storeBack()
		return false
	}
	if err != nil {
		f.storeFailed(err)
		return false
	}
	if first {
		f.storeBack()
		f.begin(delta)
		if delta.UpTo == 0 {
			// An old reading of a store that had nothing yet.
			wait.For(ctx, f.config.Gather)
		}
		return false
	}
	if !delta.Whole && len(delta.Items) >= cutFrom {
		f.noteOutage(f.now())
		f.take(storeSource, delta, core.Time(f.confirmed.Load()))
		return true
	}
	if !f.take(storeSource, delta, f.now()) {
		f.storeFailed(errBehind)
		return false
	}
	f.storeBack()
	if len(delta.Items) > 0 || f.now()-started < f.config.Gather {
		// The second case is a watch that ends at once with nothing new: were it
		// repeated at once, one node would use up what the store gives to all.
		wait.For(ctx, f.config.Gather)
	}
	return false
}

// begin takes up the first copy. It may be seconds old, so that it is not confirmed: others do not
// follow it, and a route that it lacks may be there. A process without any configuration
// refuses every request, while one that is seconds old serves all but the newest routes; and
// 295 processes that start at once cost the store a tenth.
func (f *Follower) begin(delta Delta) {
	f.peersUntil = f.now() + f.config.FirstPeers
	if applied := f.copy.Apply(delta); len(applied.Changed) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era})
	}
}

// errBehind is a whole reading of the store that stands behind the copy, in the same era as far as the
// store tells.
var errBehind = errors.New("the store is behind what it told before")

// errLeftToReaders is a whole reading that is left to the nodes that read the store for the others.
var errLeftToReaders = errors.New("the whole reading is left to the readers")

// fromStore reads what is new, or everything where the store lacks the history behind the copy.
//
// That a store came back from a copy does not show by its revisions: once they have passed the
// copy's, a watch brings what came after and hides that what lies before is another history. The era of
// each answer tells, and the whole reading that follows takes the place of everything.
func (f *Follower) fromStore(ctx context.Context, role Role) (Delta, error) {
	timeout := f.config.WatchWait + f.config.Slack
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reached := f.copy.Reached()
	if reached.Revision == 0 {
		return readAll(ctx, f.store, true)
	}
	_, confirmed := f.Age()
	waiting := f.config.WatchWait
	if !confirmed || f.gapAt > 0 {
		// The first copy is to be confirmed at once, and a gap to be closed.
		waiting = 0
	}
	delta, err := f.store.Watch(ctx, reached.Revision, waiting)
	if err == nil {
		delta.Era, err = f.eraOf(delta, reached)
	}
	gone := errors.Is(err, ErrHistoryGone) || err == nil && delta.Era != reached.Era
	if !gone {
		f.gapAt = 0
		return delta, err
	}
	if !f.mayReadAll(role) {
		return Delta{}, errLeftToReaders
	}
	if delta, err = readAll(ctx, f.store, false); err != nil {
		return Delta{}, err
	}
	f.gapAt = 0
	delta.Anew = !confirmed
	delta.Era, err = f.eraOf(delta, reached)
	return delta, err
}

// eraOf is the era that a reading of the store counts as. One that names none counts as of the known one: its
// revisions then take nothing back.
func (f *Follower) eraOf(delta Delta, reached Reached) (uint64, error) {
	untold := delta.Era == 0 && reached.Era > 0
	if untold && !f.untold {
		f.listener.EraUntold(reached.Era)
	}
	f.untold = untold
	switch {
	case untold:
		return reached.Era, nil
	case delta.Era < reached.Era:
		return 0, &OlderEraError{Told: delta.Era, Known: reached.Era}
	default:
		return delta.Era, nil
	}
}

// mayReadAll reports whether this node is to read the whole store where that lacks the history behind its copy.
// Readers do so at once; the others have it from them, and read it themselves when that
// takes too long, the heads of data centres first. While a store is away all nodes turn to it, so that
// else all of them would read it whole in the moment of its return.
func (f *Follower) mayReadAll(role Role) bool {
	if role == Reader {
		return true
	}
	if f.gapAt == 0 {
		f.gapAt = f.now()
		f.peersUntil = f.gapAt + time.Duration(role)*f.config.FirstPeers
		return false
	}
	return f.now() >= f.peersUntil
}

func (f *Follower) storeFailed(cause error) {
	f.counts.storeFailures.Add(1)
	f.store.Close()
	f.storeRetryAt = f.now() + min(f.config.FirstRetry<<min(f.failures, maxDoublings), f.config.Retry)
	f.failures++
	if f.failedSince == 0 {
		f.failedSince = max(f.now(), 1)
		f.listener.SourceFailed(storeSource, cause)
	}
}

func (f *Follower) storeBack() {
	if f.failedSince == 0 {
		return
	}
	f.listener.SourceBack(storeSource, f.now()-f.failedSince)
	f.failedSince = 0
	f.failures = 0
}

// readPeers reads from the first peer whose copy is fresh. A reader of the store
// asks without waiting long, since it is to try the store again.
func (f *Follower) readPeers(ctx context.Context, sources []peer.Target, role Role) bool {
	waiting := f.config.PeerWait
	if role == Reader {
		waiting = min(waiting, max(f.storeRetryAt-f.now(), 0))
	}
	for _, source := range sources {
		if f.readPeer(ctx, source, waiting) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		// The next one is asked since this one is stale. Were it to hold the question too, a node whose
		// usual sources are all turned away by the store would reach one that knows more after seconds.
		waiting = 0
	}
	return false
}

func (f *Follower) readPeer(ctx context.Context, source peer.Target, waiting time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, waiting+f.config.Slack)
	defer cancel()
	delta, age, err := f.peers.Fetch(ctx, source, f.copy.Reached(), waiting)
	if err != nil {
		return false
	}
	f.counts.peerReads.Add(1)
	if !f.take(string(source.Node), delta, f.now()-age) || age > f.config.Stale {
		return false
	}
	f.gapAt = 0
	return true
}

// noteOutage notes at a reading whether the store was away for long before it.
func (f *Follower) noteOutage(read core.Time) {
	before := core.Time(f.confirmed.Load())
	if before > 0 && read-before > f.config.Outage {
		f.returnUntil = f.now() + f.config.Return
	}
}

// take takes up a delta that was the store's newest state at a time. It reports whether the copy is
// confirmed by it: a delta of an older era says nothing of the store as it is, nor does a whole reading
// of it that stands behind the copy.
func (f *Follower) take(source string, delta Delta, confirmed core.Time) bool {
	reached := f.copy.Reached()
	applied := f.copy.Apply(delta)
	if applied.OtherEra || delta.Whole && !applied.Replaced && delta.UpTo < reached.Revision {
		f.notTaken(source, delta, reached)
		return false
	}
	f.behind = false
	f.noteOutage(confirmed)
	newEra := applied.Replaced && delta.Era != applied.Former.Era
	if newEra {
		f.eraChanged(source, applied)
	}
	before := core.Time(f.confirmed.Load())
	if newEra {
		// What confirmed the former era says nothing of this one.
		before = 0
	}
	f.confirmed.Store(int64(max(confirmed, before, 1)))
	f.counts.lagMs.Store((f.now() - confirmed).Milliseconds())
	if len(applied.Changed)+len(applied.Outranked) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era, AfterOutage: f.now() < f.returnUntil, NewEra: newEra, Outranked: applied.Outranked})
	}
	return true
}

// eraChanged notes that the copy went over to another era of the store. Entries that were written since
// the copy that the store came back from are written again, as after an outage.
func (f *Follower) eraChanged(source string, applied Applied) {
	f.gapAt = 0
	f.returnUntil = f.now() + f.config.Return
	f.counts.eraChanges.Add(1)
	change := EraChange{Source: source, Former: applied.Former, Now: f.copy.Reached(), Stood: applied.Stood, Outranked: len(applied.Outranked)}
	for _, item := range applied.Changed {
		if item.Removed {
			change.Lost++
		} else {
			change.Differing++
		}
	}
	f.listener.EraChanged(change)
}

// notTaken tells the first of a series of readings that the copy did not take.
func (f *Follower) notTaken(source string, delta Delta, reached Reached) {
	f.counts.notTaken.Add(1)
	if !f.behind {
		f.behind = true
		f.listener.NotTaken(NotTaken{Source: source, Era: delta.Era, Revision: delta.UpTo, Reached: reached})
	}
}
