// Package owner is the role that holds all the tier's connections to the
// replicas of its bundles: it takes parts requests from entries, queues them
// and runs them upstream.
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
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/sharedbudget"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	defaultLoops = 4
	ringDepth    = 8192
)

// Options are the parts and settings of an Owner.
type Options struct {
	Self     core.NodeID
	Belief   *belief.Store
	Upstream *upstream.Client
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// Recorder, when set, receives the outcomes of requests at replicas.
	Recorder Recorder
	// Loops is the number of goroutines; 0 takes the default.
	Loops int
	// meters and budget are shared by the loops, number tells them apart.
	meters *meters
	budget *sharedbudget.Group
	number int
}

// Owner runs the owner's duty on a fixed number of goroutines; a bundle always
// belongs to the same one.
type Owner struct {
	options Options
	loops   []*loop
	stop    context.CancelFunc
	done    sync.WaitGroup
	submits submits
}

// New starts an owner; Close ends it.
func New(options Options) *Owner {
	if options.Loops == 0 {
		options.Loops = defaultLoops
	}
	ctx, stop := context.WithCancel(context.Background())
	owner := &Owner{options: options, stop: stop}
	options.meters = newMeters(options.Metrics)
	options.budget = sharedbudget.New(budget.GroupConfig{})
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

// Close ends the duty. Requests in flight are abandoned.
func (o *Owner) Close() {
	o.stop()
	o.done.Wait()
}

// Rings reports the depth of each loop's ring.
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

// HandleBundle takes a BundleRequest. What this node does not own is refused as
// not run, with this node's view.
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
	if !l.events.TryPut(arrived{inbound: inbound, at: o.options.Now()}) {
		refuse(inbound, core.ReasonOverloaded, 0)
	}
}

func (o *Owner) owns(text *catalog.Catalog, bundle *catalog.Bundle, rank int) bool {
	if text.Policy.Routing == catalog.RoutingDirect {
		return true
	}
	place := o.options.Belief.View().RankOf(bundle.ID, bundle.DataCentre, o.options.Belief.Self())
	return place <= max(rank, successorPlace)
}

// successorPlace is the place that takes over from the owner. While views
// differ, a node may be the owner by one and the successor by the other; the
// connection share leaves room for both, so both serve.
const successorPlace = 1

// pausedRetryAfter is when a node that confirms its beliefs is likely done.
const pausedRetryAfter = 500 * time.Millisecond

// refusePaused refuses work while the beliefs may have expired. The reason makes
// the entry ask the next node of the bundle's order.
func refusePaused(inbound *peer.Inbound) {
	reply := peer.Refused(core.ReasonPeerUnreached)
	reply.GetRefusal().RetryAfterMs = uint64(pausedRetryAfter.Milliseconds())
	inbound.Reply(reply, true)
}

func refuse(inbound *peer.Inbound, reason core.Reason, view uint64) {
	reply := peer.Refused(reason)
	reply.GetRefusal().View = view
	inbound.Reply(reply, true)
}

func timeLeft(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }
