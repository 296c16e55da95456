// Package quarantine is the duty that tells the other nodes which requests replicas have ended under, and takes up
// what they tell. The decisions are those of internal/core/quarantine.
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

// expireEvery is how often requests that have not come for long are looked for.
const expireEvery = time.Minute

// Links are the other nodes that this one has links to, and asks.
type Links interface {
	peer.Asker
	Linked() []peer.Target
}

// Options are the parts of a Duty.
type Options struct {
	// Now reads the node's monotonic clock.
	Now func() core.Time
	// Changed, when set, is told each change; from is the node that told it, "" for this one. It must not block.
	Changed func(change quarantine.Change, from core.NodeID)
	// Self is the id of this node. Nodes returns the live nodes in ascending order of id; a node with few links also
	// sends news to its successors in that order. If Nodes is nil, news is sent over open links only.
	Self  core.NodeID
	Nodes func() []route.Node
}

// Duty holds what a node knows of requests that may end the replicas that run them.
type Duty struct {
	options Options
	links   Links
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	// wake holds one element when there is news to tell.
	wake chan struct{}
	// known is the number of requests that are remembered: on calm days each request pays for reading it.
	known atomic.Int64
	// digest is the ledger's.
	digest atomic.Uint64

	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// news are the requests to be told of, and the node that told this one, which need not hear it again.
	news map[quarantine.Key]core.NodeID
	// compared is how this node last compared what is set aside with each other node.
	compared map[core.NodeID]comparison
}

// New makes a duty that knows of no request; Start lets it tell others.
func New(options Options) *Duty {
	ctx, stop := context.WithCancel(context.Background())
	return &Duty{
		options: options, ctx: ctx, stop: stop, wake: make(chan struct{}, 1),
		ledger: quarantine.NewLedger(), news: map[quarantine.Key]core.NodeID{}, compared: map[core.NodeID]comparison{},
	}
}

// Start begins to tell the other nodes.
func (d *Duty) Start(links Links) {
	d.links = links
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		d.run()
	}()
}

// Close ends the duty.
func (d *Duty) Close() {
	d.stop()
	d.done.Wait()
}

// Digest sums up what is known of requests that are set aside; 0 is nothing.
func (d *Duty) Digest() uint64 { return d.digest.Load() }

// Assessment holds the standings of an incoming request.
type Assessment struct {
	// Request is the standing of the request as a whole.
	Request quarantine.Standing
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

// Assessor returns the standings of an incoming request, as a whole and at the given shards.
type Assessor interface {
	// Empty reports whether no request is remembered, in which case every request is trusted.
	Empty() bool
	Assess(identity func() quarantine.Identity, shards []string) Assessment
}

// Empty reports whether no request is remembered.
func (d *Duty) Empty() bool { return d.known.Load() == 0 }

// Assess returns the standings of an incoming request, as a whole and at the given shards. identity is not called if no
// request is remembered, and the body is not hashed if no remembered request matches in everything else.
func (d *Duty) Assess(identity func() quarantine.Identity, shards []string) Assessment {
	if d.known.Load() == 0 {
		return Assessment{}
	}
	one := identity()
	heads := one.HeadNames()
	d.mutex.Lock()
	likely := d.ledger.HasHead(heads)
	d.mutex.Unlock()
	if !likely {
		return Assessment{}
	}
	names := heads.WithBody(one.Body)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assessment := Assessment{Request: d.ledger.Observe(names, d.options.Now())}
	for i, shard := range shards {
		standing := d.ledger.StandingAtShard(names, quarantine.ShardOf(shard))
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

// Seen records the outcome of a request at a replica of a shard: the replica ended, or did not answer a trial.
func (d *Duty) Seen(identity quarantine.Identity, what, shard string, life replica.Incarnation, fact quarantine.Fact) {
	now := d.options.Now()
	heads := identity.HeadNames()
	names := heads.WithBody(identity.Body)
	exact := quarantine.Record{Key: names.Exact, Head: heads.Exact, Description: what, Level: identity.Level, SeenAt: now}
	exact.Facts = map[quarantine.Incarnation]quarantine.Fact{lifeOf(life): fact}
	exact.Shards = map[quarantine.Incarnation]quarantine.Shard{lifeOf(life): quarantine.ShardOf(shard)}
	broad := exact
	broad.Key, broad.Head, broad.Description = names.Broad, heads.Broad, what+anyVariant
	broad.Variants = map[uint64]struct{}{binary.BigEndian.Uint64(names.Exact[:]): {}}
	d.take("", func() []quarantine.Change { return append(d.ledger.Merge(exact, now), d.ledger.Merge(broad, now)...) })
}

// anyVariant ends the description of a broad name.
const anyVariant = ", or with another query or caller"

// Answered records that a replica of a shard has answered a request. names is called only if any request is remembered.
func (d *Duty) Answered(names func() quarantine.Names, shard string) {
	if d.known.Load() == 0 {
		return
	}
	resolved := names()
	d.take("", func() []quarantine.Change { return d.ledger.MarkAnswered(resolved, quarantine.ShardOf(shard)) })
}

// lifeOf names an incarnation of a replica.
func lifeOf(life replica.Incarnation) quarantine.Incarnation {
	var born [8]byte
	binary.BigEndian.PutUint64(born[:], uint64(life.Born))
	return quarantine.Incarnation(xxhash.Sum64String(life.ID + string(born[:])))
}

// take changes the ledger, and tells what is new.
func (d *Duty) take(from core.NodeID, change func() []quarantine.Change) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	changes := change()
	if len(changes) == 0 {
		return
	}
	for _, one := range changes {
		if one.New {
			d.noteNews(one.Record.Key, from)
		}
		if d.options.Changed != nil {
			d.options.Changed(one, from)
		}
	}
	d.note()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// noteNews notes that a request is to be told of; the mutex must be held. What came from several nodes, or was seen here as
// well, is told to all: each of them lacks a part of it.
func (d *Duty) noteNews(key quarantine.Key, from core.NodeID) {
	if former, queued := d.news[key]; queued && former != from {
		from = ""
	}
	d.news[key] = from
}

// note keeps what is read without the mutex, which must be held.
func (d *Duty) note() {
	d.known.Store(int64(d.ledger.Len()))
	d.digest.Store(d.ledger.Digest())
}

// Request is what operators see of a request that is remembered.
type Request struct {
	Key      string `json:"key"`
	What     string `json:"what"`
	Standing string `json:"standing"`
	// SetAsideShards counts the shards where the request is set aside; 0 if it is set aside as a whole.
	SetAsideShards int   `json:"set_aside_shards,omitempty"`
	Ended          int   `json:"replicas_ended"`
	SinceMs        int64 `json:"since_ms"`
}

// Requests lists the requests that are not trusted, the most severe first.
func (d *Duty) Requests() []Request {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.options.Now()
	var list []Request
	for _, one := range d.ledger.Records() {
		if one.Severity() == quarantine.Trusted {
			continue
		}
		list = append(list, Request{Key: one.Key.String(), What: one.Description, Standing: one.Severity().String(), SetAsideShards: one.SetAsideShards(), Ended: one.EndedCount(), SinceMs: (now - one.FirstAt).Milliseconds()})
	}
	return list
}

// Count returns the number of names whose severity is the given standing.
func (d *Duty) Count(standing quarantine.Standing) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return int64(d.ledger.Count(standing))
}

func (d *Duty) run() {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-expire.C:
			d.expire()
		case <-d.wake:
			if !d.pause() {
				return
			}
			d.tell()
		}
	}
}

// pause lets news gather; it reports false when the duty ends.
func (d *Duty) pause() bool {
	timer := time.NewTimer(gather)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *Duty) expire() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.ledger.Expire(d.options.Now())
	d.note()
}
