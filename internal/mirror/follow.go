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
	// OutageAfter is the time without a reply after which removals may be caused by the
	// store: entries expire when replicas cannot renew them.
	OutageAfter time.Duration
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
		OutageAfter:     2200 * time.Millisecond,
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
	counts    counts
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
	recoveryUntil  core.Time
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
	return &Follower{config: config, copy: copied, store: store, peers: peers, listener: listener, now: now, stop: func() {}}
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
		wait.For(ctx, max(f.storeRetryAt, f.peersOnlyUntil)-f.now())
	}
}

// readPeers reads from the first peer whose copy is fresh. A reader of the store waits for
// changes only until it may retry the store.
func (f *Follower) readPeers(ctx context.Context, sources []peer.Target, role Role) bool {
	pollWait := f.config.PeerWait
	if role == Reader {
		pollWait = min(pollWait, max(f.storeRetryAt-f.now(), 0))
	}
	for _, source := range sources {
		if f.readPeer(ctx, source, pollWait) {
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

func (f *Follower) readPeer(ctx context.Context, source peer.Target, pollWait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, pollWait+f.config.ReplyTimeout)
	defer cancel()
	delta, age, err := f.peers.Fetch(ctx, source, f.copy.Position(), pollWait)
	if err != nil {
		return false
	}
	f.counts.peerReads.Add(1)
	if !f.applyReading(string(source.Node), delta, f.now()-age) || age > f.config.StaleAfter {
		return false
	}
	f.gapSince = 0
	return true
}
