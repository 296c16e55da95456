// Package night probes idle replicas of this node's bundles, so that one which
// dies without traffic is a problem within a stated time.
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

// ProbeCustomer is the customer that probes name towards upstreams. Their question
// is null.
const ProbeCustomer core.Customer = "probe"

const (
	ringDepth = 256
	// rebuilds is how often in the reporting time the list of owned replicas
	// is worked out again at most: its cost grows with the size of the text.
	rebuilds = 12
)

// Options are the parts and settings of a Prober.
type Options struct {
	Self     core.NodeID
	Belief   *belief.Store
	Upstream *upstream.Client
	// Now reads the node's monotonic clock.
	Now      func() core.Time
	Log      logrus.FieldLogger
	Problems *observe.Problems
	Metrics  observe.Registry
	// ReportWithin is the time within which a dead replica is reported.
	ReportWithin time.Duration
	// MaxInFlight is how many probes run at once.
	MaxInFlight int
}

// Prober runs the duty.
type Prober struct {
	options  Options
	machine  *night.Machine
	owners   *owners
	events   *ring.Ring[ended]
	changed  chan struct{}
	stop     context.CancelFunc
	done     sync.WaitGroup
	probes   metrics.Counter
	failed   metrics.Counter
	inFlight metrics.Gauge
	watched  metrics.Gauge
	// details holds what the last failed probe of a replica showed.
	details map[night.Target]string
	wakeAt  core.Time
	number  uint64
	mutex   sync.Mutex
	// answered is when a replica last answered a real request.
	answered map[night.Target]core.Time
}

// ended is the end of a probe.
type ended struct {
	target night.Target
	alive  bool
	detail string
}

// Start begins the duty; Close ends it.
func Start(options Options) *Prober {
	ctx, stop := context.WithCancel(context.Background())
	p := &Prober{
		options:  options,
		machine:  night.New(night.Paced(options.ReportWithin, options.MaxInFlight)),
		owners:   newOwners(),
		events:   ring.New[ended](ringDepth),
		changed:  make(chan struct{}, 1),
		stop:     stop,
		probes:   observe.Counter(options.Metrics, "probes_total"),
		failed:   observe.Counter(options.Metrics, "probes_failed_total"),
		inFlight: observe.Gauge(options.Metrics, "probes_in_flight"),
		watched:  observe.Gauge(options.Metrics, "probes_watched_replicas"),
		details:  map[night.Target]string{},
		answered: map[night.Target]core.Time{},
	}
	options.Belief.OnChange(p.note)
	p.note()
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		p.run(ctx)
	}()
	return p
}

// Close ends the duty and its probes.
func (p *Prober) Close() {
	p.stop()
	p.done.Wait()
}

// Observe takes the end of a call that the upstream client made.
func (p *Prober) Observe(call upstream.Call, result upstream.Result) {
	if call.Customer == ProbeCustomer || result.Outcome != core.Done {
		return
	}
	target := night.Target{Ref: call.Ref, Address: call.Address}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answered[target] = p.options.Now()
}

// note marks the list of owned replicas as out of date.
func (p *Prober) note() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Prober) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	rebuild := time.NewTicker(p.options.ReportWithin / rebuilds)
	defer rebuild.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events.Items():
			p.finish(ctx, e)
		case <-rebuild.C:
			p.rebuild(ctx)
		case <-timer.C:
			p.step(ctx, night.Woken{})
		}
		timer.Reset(p.untilWake())
	}
}

// untilWake is the time to the next wake-up. With all probes in flight none is
// asked for: a timer left at its last time would fire again and again.
func (p *Prober) untilWake() time.Duration {
	if p.wakeAt == 0 {
		return time.Hour
	}
	return p.wakeAt - p.options.Now()
}

// rebuild works out the owned replicas when the beliefs have changed.
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
	targets := p.owners.targets(config.Catalog, p.options.Self)
	p.watched.Update(int64(len(targets)))
	p.forget(targets)
	p.step(ctx, night.Owned{Targets: targets})
}

// forget drops what is remembered of replicas that are no longer owned.
func (p *Prober) forget(kept []night.Target) {
	keep := make(map[night.Target]bool, len(kept))
	for _, target := range kept {
		keep[target] = true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target := range p.answered {
		if !keep[target] {
			delete(p.answered, target)
		}
	}
}

// finish takes the end of a probe.
func (p *Prober) finish(ctx context.Context, e ended) {
	p.inFlight.Update(p.inFlight.Value() - 1)
	if e.alive {
		delete(p.details, e.target)
	} else {
		p.failed.Inc(1)
		p.details[e.target] = e.detail
	}
	p.step(ctx, night.Probed{Target: e.target, Alive: e.alive})
}

// step gives the machine an event and those that follow from its actions.
func (p *Prober) step(ctx context.Context, event night.Event) {
	pending := []night.Event{event}
	for len(pending) > 0 {
		p.wakeAt = 0
		actions := p.machine.Step(p.options.Now(), pending[0])
		pending = pending[1:]
		for _, action := range actions {
			if follow := p.act(ctx, action); follow != nil {
				pending = append(pending, follow)
			}
		}
	}
}
