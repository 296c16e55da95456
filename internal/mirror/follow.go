package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// Choice of the source that a copy follows, and timing.

// Config sets the timing of a Follower.
type Config struct {
	// Readers is the number of nodes that watch the store; the others follow
	// them. Each watch makes at least one call every WatchWait.
	Readers int
	// WatchWait is how long a watch waits for a change. A connection that stopped
	// responding is detected WatchWait + ReplyTimeout after the last reply, which must stay
	// well below the time within which changes are to be in force.
	WatchWait time.Duration
	// PeerWait is how long a peer holds a request for changes. Copies are followed
	// over up to three nodes in a row, each of which adds it to the age of the copy.
	PeerWait time.Duration
	// ReplyTimeout is how long a reply may take beyond the wait that the request asks for.
	ReplyTimeout time.Duration
	// BatchDelay is the pause of a watch after a change, so that changes that come
	// together cost one call.
	BatchDelay time.Duration
	// MaxRetryDelay is the longest pause after failed calls to the store, MinRetryDelay the
	// shortest; it doubles with each failure. A store that rejected one call often serves
	// the next, and a process without a configuration refuses every request.
	MaxRetryDelay time.Duration
	MinRetryDelay time.Duration
	// StaleAfter is the age from which on a copy is no longer followed.
	StaleAfter time.Duration
	// SilentAfter is how long a chain of sources may give no sign of a running watch of the store until a node
	// that reads the store or follows those that do reads it itself. The other nodes wait SilentSpread longer, so
	// that a few nodes take over for all.
	SilentAfter  time.Duration
	SilentSpread time.Duration
	// OutageAfter is the time without a confirmation after which removals may be caused by an outage of the
	// store: entries expire when replicas cannot renew them. UnansweredAfter is how long a node's calls must
	// have got no answer for it to know of an outage; it exceeds the time after which the other nodes read the
	// store themselves, so that a node which alone is cut off seldom tells them of an outage before.
	OutageAfter     time.Duration
	UnansweredAfter time.Duration
	// PeersOnlyPeriod is how long a node that has just started reads only from its peers once it has a
	// first copy: the readers among them confirm theirs meanwhile.
	PeersOnlyPeriod time.Duration
	// HintDelay is how long a copy may lack a version that another node is known to have before that node
	// is read: several times the time that a change takes over the nodes in between.
	HintDelay time.Duration
	// RecoveryPeriod is the time after an outage within which entries may be written again.
	RecoveryPeriod time.Duration
}

// DefaultConfig returns the timing for changes that are to be in force within 3 s.
func DefaultConfig() Config {
	return Config{
		Readers:         3,
		WatchWait:       1200 * time.Millisecond,
		PeerWait:        400 * time.Millisecond,
		ReplyTimeout:    500 * time.Millisecond,
		BatchDelay:      200 * time.Millisecond,
		MaxRetryDelay:   600 * time.Millisecond,
		MinRetryDelay:   40 * time.Millisecond,
		StaleAfter:      2500 * time.Millisecond,
		SilentAfter:     1200 * time.Millisecond,
		SilentSpread:    500 * time.Millisecond,
		OutageAfter:     2200 * time.Millisecond,
		UnansweredAfter: 1800 * time.Millisecond,
		PeersOnlyPeriod: 600 * time.Millisecond,
		HintDelay:       time.Second,
		RecoveryPeriod:  2200 * time.Millisecond,
	}
}

// maxDoublings bounds the doubling of the retry delay; MaxRetryDelay is reached earlier.
const maxDoublings = 8

// Follower keeps a Copy up to date from the store or from peers.
type Follower struct {
	config   Config
	copy     *Copy
	store    Store
	peers    Peers
	listener Listener
	now      func() core.Time

	// confirmed is when the copy was last known to have the store's newest state,
	// on this node's clock; 0 is never.
	confirmed atomic.Int64
	// watched is when a watch of the store was last known to run, by this node or at the end of its chain of
	// sources; watchingUntil is the time limit of this node's own watch that runs now, 0 if none does.
	watched, watchingUntil atomic.Int64
	outages                outages
	counts                 counts
	// pendingHint is a node whose configuration has a higher version than this one's.
	pendingHint atomic.Pointer[hint]
	stop        context.CancelFunc
	done        sync.WaitGroup

	// The fields below are used only by the goroutine of run.
	storeFailedSince    core.Time
	consecutiveFailures int
	storeRetryAt        core.Time
	// peersOnlyUntil is the time until which only readers read the store.
	peersOnlyUntil core.Time
	// rejecting is set while readings are older than the copy, eraMissing while the store's replies have no era
	// although one is known.
	rejecting, eraMissing bool
	// gapSince is when the store was found to lack the history after the copy; 0 while it has it.
	gapSince core.Time
}

// storeSource is the name of the store in calls of a Listener.
const storeSource = "store"

// NewFollower returns a follower; Start starts it.
func NewFollower(config Config, copied *Copy, store Store, peers Peers, listener Listener, now func() core.Time) *Follower {
	return &Follower{
		config: config, copy: copied, store: store, peers: peers, listener: listener, now: now, stop: func() {},
		outages: outages{after: config.OutageAfter, unanswered: config.UnansweredAfter, recovery: config.RecoveryPeriod},
	}
}

// Start begins to keep the copy up to date; Close stops it.
func (f *Follower) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.run(ctx)
	}()
}

// Close stops the follower and closes its connections to the store.
func (f *Follower) Close() {
	f.stop()
	f.done.Wait()
	f.store.Close()
}

// Age returns the time since the copy was confirmed, or false if it never was.
func (f *Follower) Age() (time.Duration, bool) {
	confirmed := core.Time(f.confirmed.Load())
	if confirmed == 0 {
		return 0, false
	}
	return f.now() - confirmed, true
}

// Status is how current a node's copy is, as far as the node knows.
type Status struct {
	// Age is the time since the store confirmed the copy.
	Age time.Duration
	// Watched is the time since a watch of the store was last known to run, by the node or at the end of its chain
	// of sources. A change reaches the node only over such a chain.
	Watched time.Duration
	// Outage is how much longer removals may be the effect of an outage of the store; 0 if none is known.
	Outage time.Duration
}

// Status returns the status of the copy, or false if it was never confirmed.
func (f *Follower) Status() (Status, bool) {
	age, known := f.Age()
	if !known {
		return Status{}, false
	}
	now := f.now()
	status := Status{Age: age, Outage: f.outages.left(now)}
	if now >= core.Time(f.watchingUntil.Load()) {
		status.Watched = now - core.Time(f.watched.Load())
	}
	return status, true
}

// counts are the counters of a Follower, which other goroutines read while it runs.
type counts struct{ storeCalls, storeFailures, peerReads, lagMs, readingsRejected, eraChanges atomic.Int64 }

// Counts is a snapshot of a Follower's counters.
type Counts struct {
	// StoreCalls counts the attempts to read the store, where all pages of a whole copy are one;
	// StoreFailures counts those that failed.
	StoreCalls, StoreFailures int64
	// PeerReads counts the successful readings of other nodes' copies.
	PeerReads int64
	// ReadingsRejected counts the readings that were older than the copy and left it unchanged.
	ReadingsRejected int64
	// EraChanges counts the moves of the copy to another era of the store.
	EraChanges int64
	// Lag is the age of the last reading on arrival: about 0 from the store, otherwise the delay
	// added by the nodes in between.
	Lag time.Duration
}

// Counts returns the current counters.
func (f *Follower) Counts() Counts {
	return Counts{
		StoreCalls: f.counts.storeCalls.Load(), StoreFailures: f.counts.storeFailures.Load(), PeerReads: f.counts.peerReads.Load(),
		ReadingsRejected: f.counts.readingsRejected.Load(), EraChanges: f.counts.eraChanges.Load(),
		Lag: time.Duration(f.counts.lagMs.Load()) * time.Millisecond,
	}
}

// run reads repeatedly. A node that is not a reader follows peers, and reads the store
// itself when none of them has a fresh copy. A reader that the store rejects follows
// peers until its retry delay has passed.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.followHint(ctx)
		sources, role := f.peers.Sources(f.config.Readers)
		// A process that has just started reads the store itself: after the loss of all nodes its peers
		// have no copy either, and every request is refused while they are read in turn.
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
		if f.now() >= max(f.storeRetryAt, f.peersOnlyUntil) {
			f.readStore(ctx, role)
			continue
		}
		f.pause(ctx, max(f.storeRetryAt, f.peersOnlyUntil)-f.now())
	}
}

// readPeers reads from the first peer whose copy is fresh. A reader of the store waits for
// changes only until it may retry the store. No node waits for its peers beyond the time at which it must read
// the store itself: several silent ones in a row would otherwise delay every change.
func (f *Follower) readPeers(ctx context.Context, sources []peer.Target, role Role) bool {
	pollWait := f.config.PeerWait
	if role == Reader {
		pollWait = min(pollWait, max(f.storeRetryAt-f.now(), 0))
	}
	if _, confirmed := f.Age(); confirmed {
		left := f.freshUntil(role) - f.now()
		if left <= 0 {
			// The store was to be read instead and rejected this node: the peers are asked for what they have.
			pollWait = 0
		} else {
			bounded, cancel := context.WithTimeout(ctx, left)
			defer cancel()
			ctx = bounded
		}
	}
	for _, source := range sources {
		if f.readPeer(ctx, source, role, pollWait) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		// The next peer is read because this one is stale, and must not hold the request too: a node whose
		// usual sources are all rejected by the store would otherwise reach a fresher one only after seconds.
		pollWait = 0
	}
	return false
}

// freshUntil returns until when the copy counts as fresh without a further reading.
func (f *Follower) freshUntil(role Role) core.Time {
	return min(core.Time(f.watched.Load())+f.silentAfter(role), core.Time(f.confirmed.Load())+f.config.StaleAfter)
}

// silentAfter returns how long the sources of a node may give no sign of a running watch of the store.
func (f *Follower) silentAfter(role Role) time.Duration {
	if role == Other {
		return f.config.SilentAfter + f.config.SilentSpread
	}
	return f.config.SilentAfter
}

func (f *Follower) readPeer(ctx context.Context, source peer.Target, role Role, pollWait time.Duration) bool {
	limit := pollWait + f.config.ReplyTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	startedAt := f.now()
	delta, status, err := f.peers.Fetch(ctx, source, f.copy.Position(), pollWait)
	f.checkPaused(startedAt, limit)
	if err != nil {
		return false
	}
	f.counts.peerReads.Add(1)
	now := f.now()
	f.outages.told(now, status.Outage)
	if !f.applyReading(string(source.Node), delta, now-status.Age) || status.Age >= f.config.StaleAfter {
		return false
	}
	f.watched.Store(max(f.watched.Load(), int64(now-status.Watched)))
	if status.Watched >= f.silentAfter(role) {
		return false
	}
	f.gapSince = 0
	return true
}

// checkPaused records a pause of this process if a wait that began at the given time took much longer than its
// limit, and reports whether it did.
func (f *Follower) checkPaused(startedAt core.Time, limit time.Duration) bool {
	if f.now()-startedAt <= limit+pauseThreshold {
		return false
	}
	f.outages.processResumed()
	return true
}

// pause waits, or until ctx is cancelled.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	startedAt := f.now()
	wait.For(ctx, d)
	f.checkPaused(startedAt, d)
}
