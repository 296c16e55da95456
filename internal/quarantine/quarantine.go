// Package quarantine replicates between the nodes which requests replicas have ended under. The decisions are made in
// internal/core/quarantine.
package quarantine

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// expireInterval is how often records of requests that have not arrived for a long time are removed.
const expireInterval = time.Minute

// Links sends requests to other nodes and lists the nodes that this one has links to.
type Links interface {
	peer.Sender
	Linked() []peer.Target
}

// Options are the dependencies of a ReplicatedLedger.
type Options struct {
	// Now returns the time on the node's monotonic clock.
	Now func() core.Time
	// OnChange, if set, is called for each change. from is the node that sent it, or "" for this node. It must not block.
	OnChange func(change quarantine.Change, from core.NodeID)
	// Self is the ID of this node. Nodes returns the live nodes in ascending order of ID; a node with few links also
	// sends updates to its successors in that order. If Nodes is nil, updates are sent over open links only.
	Self  core.NodeID
	Nodes func() []route.Node
}

// ReplicatedLedger is a quarantine ledger that the nodes replicate between them. It is safe for concurrent use.
type ReplicatedLedger struct {
	options Options
	links   Links
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	// wake holds one element if updates are queued.
	wake chan struct{}
	// setAside holds one element if an update that sets a request aside was queued since the last pause.
	setAside chan struct{}
	// interval is the minimum time between two sends of other updates; tests replace it.
	interval time.Duration
	// known is the number of recorded requests. It is usually 0, and then reading it is all that a request costs.
	known atomic.Int64
	// digest is the digest of the ledger.
	digest atomic.Uint64

	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// queued holds the keys of the records to send, each with the node that sent it to this one. That node need not
	// receive it again.
	queued map[quarantine.Key]core.NodeID
	// comparisons holds the last comparison of records with each other node.
	comparisons map[core.NodeID]comparison
}

// New creates an empty ledger. It sends nothing to other nodes before Start.
func New(options Options) *ReplicatedLedger {
	ctx, stop := context.WithCancel(context.Background())
	return &ReplicatedLedger{
		options: options, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), setAside: make(chan struct{}, 1), interval: updateInterval,
		ledger: quarantine.NewLedger(), queued: map[quarantine.Key]core.NodeID{}, comparisons: map[core.NodeID]comparison{},
	}
}

// Start starts sending updates to the other nodes.
func (r *ReplicatedLedger) Start(links Links) {
	r.links = links
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		r.run()
	}()
}

// Close stops the replication.
func (r *ReplicatedLedger) Close() {
	r.stop()
	r.done.Wait()
}

// Digest returns the digest of the requests that are set aside, or 0 if there are none.
func (r *ReplicatedLedger) Digest() uint64 { return r.digest.Load() }

// Assessment holds the standings of an incoming request.
type Assessment struct {
	// Request is the standing of the request as a whole.
	Request quarantine.Standing
	// EndedReplicas counts the replicas that are known to have ended under the request.
	EndedReplicas int
	// Shards holds the standings at the requested shards, in the same order; nil if the request is trusted at all of them.
	Shards []quarantine.Standing
}

// ShardsWith returns the set of indexes of the requested shards that have the given standing, or nil if there are none.
// The standing must not be Trusted, because Shards is nil if all shards are trusted.
func (a Assessment) ShardsWith(standing quarantine.Standing) map[int]bool {
	var indexes map[int]bool
	for i, shardStanding := range a.Shards {
		if shardStanding != standing {
			continue
		}
		if indexes == nil {
			indexes = map[int]bool{}
		}
		indexes[i] = true
	}
	return indexes
}

// IsSetAside reports whether the request is set aside as a whole or at the shard with the given index.
func (a Assessment) IsSetAside(shard int) bool {
	return a.Request == quarantine.SetAside || a.Shards != nil && a.Shards[shard] == quarantine.SetAside
}

// Assessor returns the standings of an incoming request, as a whole and at the given shards.
type Assessor interface {
	// Empty reports whether no request is recorded, in which case every request is trusted.
	Empty() bool
	Assess(identity func() quarantine.Identity, shards []string) Assessment
}

// Empty reports whether no request is recorded.
func (r *ReplicatedLedger) Empty() bool { return r.known.Load() == 0 }

// Assess returns the standings of an incoming request, as a whole and at the given shards. identity is not called if no
// request is recorded, and the body is not hashed if no recorded request matches in everything else.
func (r *ReplicatedLedger) Assess(identity func() quarantine.Identity, shards []string) Assessment {
	if r.known.Load() == 0 {
		return Assessment{}
	}
	id := identity()
	heads := id.HeadNames()
	r.mutex.Lock()
	headKnown := r.ledger.HasHead(heads)
	r.mutex.Unlock()
	if !headKnown {
		return Assessment{}
	}
	names := heads.WithBody(id.Body)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	assessment := Assessment{Request: r.ledger.Observe(names, r.options.Now())}
	if record := r.ledger.Get(names.Exact); record != nil {
		assessment.EndedReplicas = record.EndedCount()
	}
	for i, shard := range shards {
		standing := r.ledger.StandingAtShard(names, quarantine.ShardOf(shard))
		if standing == quarantine.Trusted {
			continue
		}
		if assessment.Shards == nil {
			assessment.Shards = make([]quarantine.Standing, len(shards))
		}
		assessment.Shards[i] = standing
	}
	return assessment
}

// RecordFacts records the outcome of a request at a replica of a shard: the replica ended, or did not answer a trial.
func (r *ReplicatedLedger) RecordFacts(identity quarantine.Identity, description, shard string, incarnation replica.Incarnation, fact quarantine.Fact) {
	now := r.options.Now()
	heads := identity.HeadNames()
	names := heads.WithBody(identity.Body)
	exact := quarantine.Record{Key: names.Exact, Head: heads.Exact, Description: description, Level: identity.Level, SeenAt: now}
	exact.Facts = map[quarantine.Incarnation]quarantine.Fact{incarnationOf(incarnation): fact}
	exact.Shards = map[quarantine.Incarnation]quarantine.Shard{incarnationOf(incarnation): quarantine.ShardOf(shard)}
	broad := exact
	broad.Key, broad.Head, broad.Description = names.Broad, heads.Broad, description+broadSuffix
	broad.Variants = map[uint64]struct{}{binary.BigEndian.Uint64(names.Exact[:]): {}}
	r.apply("", func() []quarantine.Change { return append(r.ledger.Merge(exact, now), r.ledger.Merge(broad, now)...) })
}

// broadSuffix is appended to the description of a broad name.
const broadSuffix = ", or with another query or caller"

// RecordAnswer records that a replica of a shard has answered a request. names is called only if any request is recorded.
func (r *ReplicatedLedger) RecordAnswer(names func() quarantine.Names, shard string) {
	if r.known.Load() == 0 {
		return
	}
	resolved := names()
	r.apply("", func() []quarantine.Change { return r.ledger.MarkAnswered(resolved, quarantine.ShardOf(shard)) })
}

// incarnationOf returns the identifier of an incarnation of a replica.
func incarnationOf(incarnation replica.Incarnation) quarantine.Incarnation {
	var born [8]byte
	binary.BigEndian.PutUint64(born[:], uint64(incarnation.Born))
	return quarantine.Incarnation(xxhash.Sum64String(incarnation.ID + string(born[:])))
}

// apply changes the ledger, reports the changes and queues new records for the other nodes.
func (r *ReplicatedLedger) apply(from core.NodeID, change func() []quarantine.Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes := change()
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if c.New {
			r.queueUpdate(c.Record.Key, from)
		}
		if c.New && c.Previous != quarantine.SetAside && c.Record.Severity() == quarantine.SetAside {
			signal(r.setAside)
		}
		if r.options.OnChange != nil {
			r.options.OnChange(c, from)
		}
	}
	r.storeSummary()
	signal(r.wake)
}

// signal puts an element into a channel that holds one, unless it holds one already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// queueUpdate queues a record to be sent; the mutex must be held. A record that came from several nodes, or was changed here
// as well, is sent to all nodes, because each of them lacks a part of it.
func (r *ReplicatedLedger) queueUpdate(key quarantine.Key, from core.NodeID) {
	if earlier, found := r.queued[key]; found && earlier != from {
		from = ""
	}
	r.queued[key] = from
}

// storeSummary updates the fields that are read without the mutex. The mutex must be held.
func (r *ReplicatedLedger) storeSummary() {
	r.known.Store(int64(r.ledger.Len()))
	r.digest.Store(r.ledger.Digest())
}

// RequestStatus describes a recorded request to operators.
type RequestStatus struct {
	Key         string `json:"key"`
	Description string `json:"what"`
	Standing    string `json:"standing"`
	// SetAsideShards counts the shards where the request is set aside; 0 if it is set aside as a whole.
	SetAsideShards int   `json:"set_aside_shards,omitempty"`
	EndedReplicas  int   `json:"replicas_ended"`
	SinceMs        int64 `json:"since_ms"`
}

// Requests lists the requests that are not trusted, the most severe first.
func (r *ReplicatedLedger) Requests() []RequestStatus {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	var list []RequestStatus
	for _, record := range r.ledger.Records() {
		if record.Severity() == quarantine.Trusted {
			continue
		}
		list = append(list, RequestStatus{Key: record.Key.String(), Description: record.Description, Standing: record.Severity().String(), SetAsideShards: record.SetAsideShards(), EndedReplicas: record.EndedCount(), SinceMs: (now - record.FirstAt).Milliseconds()})
	}
	return list
}

// Count returns the number of names whose severity is the given standing.
func (r *ReplicatedLedger) Count(standing quarantine.Standing) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int64(r.ledger.Count(standing))
}

func (r *ReplicatedLedger) run() {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-expire.C:
			r.expire()
		case <-r.wake:
			r.sendUpdates()
			if !r.pause() {
				return
			}
		}
	}
}

// pause waits for the interval between two sends of updates, or until an update sets a request aside. It returns false if
// the ledger is closed.
func (r *ReplicatedLedger) pause() bool {
	timer := time.NewTimer(r.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.setAside:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *ReplicatedLedger) expire() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ledger.Expire(r.options.Now())
	r.storeSummary()
}
