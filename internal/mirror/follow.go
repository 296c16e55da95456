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
		Return:     2200 * time.Millisecond,
	}
}

// maxDoublings bounds the doubling of the pause, which its longest value ends earlier.
const maxDoublings = 8

// Change is what a reading brought.
type Change struct {
	Items []Item
	// AfterOutage is set when removals among the items may not mean that a
	// replica is gone.
	AfterOutage bool
}

// Listener takes what happens to a copy. Its calls come from one goroutine.
type Listener interface {
	// Changed is told each change.
	Changed(Change)
	// SourceFailed and SourceBack tell that the store, or a peer that was
	// followed, does not answer or answers again.
	SourceFailed(source string, cause error)
	SourceBack(source string, after time.Duration)
	// NotTaken tells the first of a series of readings that the copy did not take.
	NotTaken(NotTaken)
}

// NotTaken is a reading that stands behind what the copy has reached.
type NotTaken struct {
	Source string
	// Era and Revision are those of the reading, Reached is the copy's revision.
	Era, Revision, Reached uint64
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
	stop      context.CancelFunc
	done      sync.WaitGroup

	// The rest is used by the following goroutine alone.
	failedSince  core.Time
	failures     int
	storeRetryAt core.Time
	// peersUntil is until when only readers turn to the store.
	peersUntil  core.Time
	returnUntil core.Time
	// behind is set while readings stand behind the copy.
	behind bool
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

// Age is how long ago the copy was confirmed; false when it never was.
func (f *Follower) Age() (time.Duration, bool) {
	confirmed := core.Time(f.confirmed.Load())
	if confirmed == 0 {
		return 0, false
	}
	return f.now() - confirmed, true
}

// counts are the counts of a Follower, read by others while it runs.
type counts struct{ storeCalls, storeFailures, peerReads, lagMs, notTaken, storeEra atomic.Int64 }

// Counts says what keeping the copy up to date took so far.
type Counts struct {
	// StoreCalls counts the readings tried at the store, each one call or, for a whole
	// copy, one for each page; StoreFailures those that failed.
	StoreCalls, StoreFailures int64
	// PeerReads counts the readings of other nodes' copies that succeeded.
	PeerReads int64
	// NotTaken counts the readings that stood behind what the copy has reached.
	NotTaken int64
	// StoreEra is the era that the store told last; 0 is none.
	StoreEra int64
	// Lag is how old the last reading was when it came: about 0 from the store, what the
	// nodes in between add to it otherwise.
	Lag time.Duration
}

// Counts returns the counts so far.
func (f *Follower) Counts() Counts {
	return Counts{
		StoreCalls: f.counts.storeCalls.Load(), StoreFailures: f.counts.storeFailures.Load(), PeerReads: f.counts.peerReads.Load(),
		NotTaken: f.counts.notTaken.Load(), StoreEra: f.counts.storeEra.Load(),
		Lag: time.Duration(f.counts.lagMs.Load()) * time.Millisecond,
	}
}

// run reads again and again. A node that is not a reader follows peers, and turns
// to the store itself when none of them has a fresh copy; a reader that the store
// turns away follows peers until it may try again.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		sources, reader := f.peers.Sources(f.config.Readers)
		// A process that has just started reads the store itself: after the loss of
		// all nodes its peers know as little, and asking them in turn took 0.7 s in
		// which every request was refused.
		reader = reader || len(sources) == 0 || f.copy.UpTo() == 0
		if reader && f.now() >= f.storeRetryAt {
			f.readStore(ctx)
			continue
		}
		if f.readPeers(ctx, sources, reader) {
			continue
		}
		if f.now() >= max(f.storeRetryAt, f.peersUntil) {
			f.readStore(ctx)
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
// cut off would otherwise take a part of the changes for all of them, and the next part 4 s
// later: a configuration behind 1,200 changes was in force after 6 s.
func (f *Follower) readStore(ctx context.Context) {
	for f.readOnce(ctx) {
	}
}

// readOnce makes one call, or those of a whole reading. It reports whether there is more to
// read at once.
func (f *Follower) readOnce(ctx context.Context) bool {
	started := f.now()
	first := f.copy.UpTo() == 0
	f.counts.storeCalls.Add(1)
	delta, err := f.fromStore(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.storeFailed(err)
		return false
	}
	f.storeBack()
	f.noteReading(storeSource, delta)
	if first {
		f.begin(delta)
		if delta.UpTo == 0 {
			// An old reading of a store that had nothing yet.
			wait.For(ctx, f.config.Gather)
		}
		return false
	}
	if !delta.Whole && len(delta.Items) >= cutFrom {
		f.noteOutage(f.now())
		f.take(delta, core.Time(f.confirmed.Load()))
		return true
	}
	f.take(delta, f.now())
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
	if changed := f.copy.Apply(delta); len(changed) > 0 {
		f.listener.Changed(Change{Items: changed})
	}
}

func (f *Follower) fromStore(ctx context.Context) (Delta, error) {
	timeout := f.config.WatchWait + f.config.Slack
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	after := f.copy.UpTo()
	if after == 0 {
		return readAll(ctx, f.store, true)
	}
	waiting := f.config.WatchWait
	if _, known := f.Age(); !known {
		// The first copy is to be confirmed at once.
		waiting = 0
	}
	delta, err := f.store.Watch(ctx, after, waiting)
	if errors.Is(err, ErrHistoryGone) {
		return readAll(ctx, f.store, false)
	}
	return delta, err
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
func (f *Follower) readPeers(ctx context.Context, sources []peer.Target, reader bool) bool {
	waiting := f.config.PeerWait
	if reader {
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
	delta, age, err := f.peers.Fetch(ctx, source, f.copy.UpTo(), waiting)
	if err != nil {
		return false
	}
	f.counts.peerReads.Add(1)
	f.noteReading(string(source.Node), delta)
	f.take(delta, f.now()-age)
	return age <= f.config.Stale
}

// noteReading tells the first reading of a series that stands behind the copy. A whole reading
// that does is thrown away item by item, while the node calls itself up to date.
func (f *Follower) noteReading(source string, delta Delta) {
	reached := f.copy.UpTo()
	if source == storeSource {
		f.counts.storeEra.Store(int64(delta.Era))
	}
	if delta.UpTo >= reached {
		f.behind = false
		return
	}
	f.counts.notTaken.Add(1)
	if !f.behind && delta.Whole {
		f.behind = true
		f.listener.NotTaken(NotTaken{Source: source, Era: delta.Era, Revision: delta.UpTo, Reached: reached})
	}
}

// noteOutage notes at a reading whether the store was away for long before it.
func (f *Follower) noteOutage(read core.Time) {
	before := core.Time(f.confirmed.Load())
	if before > 0 && read-before > f.config.Outage {
		f.returnUntil = f.now() + f.config.Return
	}
}

// take takes up a delta that was the store's newest state at a time.
func (f *Follower) take(delta Delta, confirmed core.Time) {
	before := core.Time(f.confirmed.Load())
	f.noteOutage(confirmed)
	changed := f.copy.Apply(delta)
	f.confirmed.Store(int64(max(confirmed, before, 1)))
	f.counts.lagMs.Store((f.now() - confirmed).Milliseconds())
	if len(changed) > 0 {
		f.listener.Changed(Change{Items: changed, AfterOutage: f.now() < f.returnUntil})
	}
}
