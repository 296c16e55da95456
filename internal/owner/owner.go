// Package owner implements the owner role. An owner holds all connections of the
// tier to the replicas of its bundles: it receives shard requests from entries,
// queues them and sends them upstream.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/sharedbudget"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	defaultLoops = 4
	ringDepth    = 8192
)

// Options are the dependencies and settings of an Owner.
type Options struct {
	Self     core.NodeID
	Belief   *belief.Store
	Upstream *upstream.Client
	// Now returns the time on the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// Recorder receives the outcomes of requests at replicas; it may be nil.
	Recorder Recorder
	// Assessor returns the standings of requests that may end replicas; it may be nil.
	Assessor quarantine.Assessor
	// Loops is the number of goroutines; 0 means defaultLoops.
	Loops int
	// meters, budget and brokenSends are shared by the loops; number is the index of the loop.
	meters      *meters
	budget      *sharedbudget.Group
	brokenSends *brokenSends
	number      int
}

// Owner runs the owner role on a fixed number of goroutines. Each bundle is always
// handled by the same one.
type Owner struct {
	options Options
	loops   []*loop
	stop    context.CancelFunc
	done    sync.WaitGroup
	submits submitTracker
}

// New starts an owner. It runs until Close.
func New(options Options) *Owner {
	if options.Loops == 0 {
		options.Loops = defaultLoops
	}
	ctx, stop := context.WithCancel(context.Background())
	owner := &Owner{options: options, stop: stop}
	options.meters = newMeters(options.Metrics)
	options.budget = sharedbudget.New(budget.GroupConfig{})
	options.brokenSends = &brokenSends{}
	for number := range options.Loops {
		options.number = number
		l := newLoop(ctx, options)
		owner.loops = append(owner.loops, l)
		owner.done.Add(1)
		go func() {
			defer owner.done.Done()
			l.run()
		}()
	}
	options.Belief.OnChange(owner.reload)
	return owner
}

// Close stops the owner. Requests in flight are abandoned.
func (o *Owner) Close() {
	o.stop()
	o.done.Wait()
}

// Rings returns the statistics of each loop's event ring.
func (o *Owner) Rings() []ring.Stats {
	stats := make([]ring.Stats, 0, len(o.loops))
	for _, l := range o.loops {
		stats = append(stats, l.events.Stats())
	}
	return stats
}

func (o *Owner) reload() {
	for _, l := range o.loops {
		select {
		case l.changed <- struct{}{}:
		default:
		}
	}
}

// HandleBundle handles a BundleRequest. A bundle that this node does not own is
// refused as not run, with the ID of this node's view.
func (o *Owner) HandleBundle(inbound *peer.Inbound) {
	request := inbound.Envelope.GetBundleRequest()
	config := o.options.Belief.Config()
	if config == nil {
		refuse(inbound, core.ReasonNotOwner, 0)
		return
	}
	if o.options.Belief.Paused() {
		refusePaused(inbound)
		return
	}
	bundle := config.Catalog.Bundles[core.BundleID(request.GetBundle())]
	if bundle == nil || !o.owns(config.Catalog, bundle, int(request.GetRank())) {
		refuse(inbound, core.ReasonNotOwner, o.options.Belief.View().ID())
		return
	}
	l := o.loops[uint32(bundle.ID)%uint32(len(o.loops))]
	if !l.events.TryPut(requestReceived{inbound: inbound, at: o.options.Now()}) {
		refuse(inbound, core.ReasonOverloaded, 0)
	}
}

func (o *Owner) owns(cat *catalog.Catalog, bundle *catalog.Bundle, rank int) bool {
	if cat.Policy.Routing == catalog.RoutingDirect {
		return true
	}
	ownRank := o.options.Belief.View().RankOf(bundle.ID, bundle.DataCentre, o.options.Belief.Self())
	return ownRank <= max(rank, successorRank)
}

// successorRank is the rank of the node that takes over from the owner. While views
// differ, one node can be the owner in one view and the successor in another. Both
// ranks serve requests, because the connection share leaves room for two nodes.
const successorRank = 1

// pausedRetryAfter is the usual time until a paused node has confirmed its state.
const pausedRetryAfter = 500 * time.Millisecond

// refusePaused refuses a request while this node's view and configuration may be
// stale. The reason makes the entry ask the next node in the bundle's owner order.
func refusePaused(inbound *peer.Inbound) {
	reply := peer.NewRefusal(core.ReasonPeerUnreached)
	reply.GetRefusal().RetryAfterMs = uint64(pausedRetryAfter.Milliseconds())
	inbound.Reply(reply, true)
}

func refuse(inbound *peer.Inbound, reason core.Reason, view uint64) {
	reply := peer.NewRefusal(reason)
	reply.GetRefusal().View = view
	inbound.Reply(reply, true)
}

func remainingTime(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }
