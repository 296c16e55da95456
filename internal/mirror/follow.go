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

// From whom does a node have its copy, and at what pace?

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
	// ReplyTimeout is how much longer than asked for an answer may take.
	ReplyTimeout time.Duration
	// BatchDelay is how long a watch pauses after a change, so that changes that come
	// together cost one call.
	BatchDelay time.Duration
	// MaxRetryDelay is the longest pause after failed calls to the store, FirstRetry the
	// shortest; it doubles with each failure. A store that turned one call away often
	// takes the next, and a process without a configuration refuses every request.
	MaxRetryDelay time.Duration
	MinRetryDelay time.Duration
	// StaleAfter is the age from which on a copy is no longer followed.
	StaleAfter time.Duration
	// OutageAfter is the time without an answer after which removals may be the
	// store's own doing: entries lapse when replicas cannot renew them.
	OutageAfter time.Duration
	// PeersOnlyPeriod is how long a node that has just started turns to its peers only, once it has a
	// first copy: the readers among them confirm theirs meanwhile.
	PeersOnlyPeriod time.Duration
	// HintDelay is how long a copy may lack what another node is known to have before that node is
	// asked: a few times what a change takes over the nodes in between.
	HintDelay time.Duration
	// RecoveryPeriod is how long after an outage entries may take to come back.
	RecoveryPeriod time.Duration
}

// DefaultConfig is the pace for changes that are to be in force within 3 s.
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

// maxDoublings bounds the doubling of the pause, which its longest value ends earlier.
const maxDoublings = 8

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
	// hinted is a node whose configuration has a higher version than this one's.
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
	// behind is set while readings are older than the copy, untold while the store's answers name no era though
	// one is known.
	behind, untold bool
	// gapAt is when the store was found to lack the history behind the copy; 0 while it has it.
	gapAt core.Time
}

// storeSource is the name of the store as a source, in calls of a Listener.
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
type counts struct{ storeCalls, storeFailures, peerReads, lagMs, notTaken, eraChanges atomic.Int64 }

// Counts says what keeping the copy up to date took so far.
type Counts struct {
	// StoreCalls counts the readings tried at the store, each one call or, for a whole
	// copy, one for each page; StoreFailures those that failed.
	StoreCalls, StoreFailures int64
	// PeerReads counts the readings of other nodes' copies that succeeded.
	PeerReads int64
	// ReadingsRejected counts the readings that were older than the copy and left it unchanged.
	ReadingsRejected int64
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
		ReadingsRejected: f.counts.notTaken.Load(), EraChanges: f.counts.eraChanges.Load(),
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
	ctx, cancel := context.WithTimeout(ctx, waiting+f.config.ReplyTimeout)
	defer cancel()
	delta, age, err := f.peers.Fetch(ctx, source, f.copy.Position(), waiting)
	if err != nil {
		return false
	}
	f.counts.peerReads.Add(1)
	if !f.take(string(source.Node), delta, f.now()-age) || age > f.config.StaleAfter {
		return false
	}
	f.gapAt = 0
	return true
}
