// Package night probes idle replicas of this node's bundles, so that a replica that fails
// without traffic is reported within a configured time.
package night

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// ProbeCustomer is the customer name in probes. The query of a probe is null.
const ProbeCustomer core.Customer = "probe"

const (
	ringDepth = 256
	// rebuildsPerReport is how many times within ReportWithin the list of owned replicas is
	// rebuilt at most: the cost grows with the size of the configuration.
	rebuildsPerReport = 12
)

// Options are the dependencies and settings of a Prober.
type Options struct {
	Self     core.NodeID
	Belief   *belief.Store
	Upstream *upstream.Client
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// ReportWithin is the time within which a failed replica is reported.
	ReportWithin time.Duration
	// MaxInFlight bounds the probes that run at once.
	MaxInFlight int
}

// Prober probes the idle replicas that this node owns.
type Prober struct {
	options  Options
	machine  *night.Machine
	owners   *ownerTable
	events   *ring.Ring[probeResult]
	changed  chan struct{}
	stop     context.CancelFunc
	done     sync.WaitGroup
	probes   metrics.Counter
	failed   metrics.Counter
	inFlight metrics.Gauge
	watched  metrics.Gauge
	// failureDetails holds the detail of each replica's last failed probe.
	failureDetails map[night.Target]string
	wakeAt         core.Time
	probeNumber    uint64
	mutex          sync.Mutex
	// answeredAt is when a replica last answered a real request.
	answeredAt map[night.Target]core.Time
}

// probeResult is the result of a probe.
type probeResult struct {
	target night.Target
	alive  bool
	detail string
}

// Start starts a Prober; Close stops it.
func Start(options Options) *Prober {
	ctx, stop := context.WithCancel(context.Background())
	p := &Prober{
		options:        options,
		machine:        night.New(night.ConfigFor(options.ReportWithin, options.MaxInFlight)),
		owners:         newOwnerTable(),
		events:         ring.New[probeResult](ringDepth),
		changed:        make(chan struct{}, 1),
		stop:           stop,
		probes:         observe.Counter(options.Metrics, "probes_total"),
		failed:         observe.Counter(options.Metrics, "probes_failed_total"),
		inFlight:       observe.Gauge(options.Metrics, "probes_in_flight"),
		watched:        observe.Gauge(options.Metrics, "probes_watched_replicas"),
		failureDetails: map[night.Target]string{},
		answeredAt:     map[night.Target]core.Time{},
	}
	options.Belief.OnChange(p.markChanged)
	p.markChanged()
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		p.run(ctx)
	}()
	return p
}

// Close stops the Prober and its probes.
func (p *Prober) Close() {
	p.stop()
	p.done.Wait()
}

// Observe records the result of a call of the upstream client.
func (p *Prober) Observe(call upstream.Call, result upstream.Result) {
	if call.Customer == ProbeCustomer || result.Outcome != core.Done {
		return
	}
	target := night.Target{Ref: call.Ref, Address: call.Address}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answeredAt[target] = p.options.Now()
}

// markChanged marks the list of owned replicas as out of date.
func (p *Prober) markChanged() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Prober) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	rebuild := time.NewTicker(p.options.ReportWithin / rebuildsPerReport)
	defer rebuild.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events.Items():
			p.finishProbe(ctx, e)
		case <-rebuild.C:
			p.rebuild(ctx)
		case <-timer.C:
			p.step(ctx, night.Woken{})
		}
		timer.Reset(p.untilWake())
	}
}

// untilWake returns the time until the next wake-up. While all probes are in flight no wake-up is
// requested: a timer left at its last time would fire again and again.
func (p *Prober) untilWake() time.Duration {
	if p.wakeAt == 0 {
		return time.Hour
	}
	return p.wakeAt - p.options.Now()
}

// rebuild recomputes the list of owned replicas if the configuration or the view has changed.
func (p *Prober) rebuild(ctx context.Context) {
	select {
	case <-p.changed:
	default:
		return
	}
	config := p.options.Belief.Config()
	if config == nil {
		return
	}
	p.owners.update(config.Catalog, p.options.Belief.View())
	targets := p.owners.targets(config.Catalog, p.options.Self, p.options.Belief.Draining)
	p.watched.Update(int64(len(targets)))
	p.pruneAnswered(targets)
	p.step(ctx, night.TargetsAssigned{Targets: targets})
}

// pruneAnswered deletes the entries of replicas that are no longer owned.
func (p *Prober) pruneAnswered(owned []night.Target) {
	keep := make(map[night.Target]bool, len(owned))
	for _, target := range owned {
		keep[target] = true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target := range p.answeredAt {
		if !keep[target] {
			delete(p.answeredAt, target)
		}
	}
}

// finishProbe handles the result of a probe.
func (p *Prober) finishProbe(ctx context.Context, e probeResult) {
	p.inFlight.Update(p.inFlight.Value() - 1)
	if e.alive {
		delete(p.failureDetails, e.target)
	} else {
		p.failed.Inc(1)
		p.failureDetails[e.target] = e.detail
	}
	p.step(ctx, night.ProbeEnded{Target: e.target, Alive: e.alive})
}

// step gives the state machine an event, then the events that result from its actions.
func (p *Prober) step(ctx context.Context, event night.Event) {
	pending := []night.Event{event}
	for len(pending) > 0 {
		p.wakeAt = 0
		actions := p.machine.Step(p.options.Now(), pending[0])
		pending = pending[1:]
		for _, action := range actions {
			if next := p.act(ctx, action); next != nil {
				pending = append(pending, next)
			}
		}
	}
}
