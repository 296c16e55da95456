package owner

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// meters holds the owner's metrics. All loops share it.
type meters struct {
	registry observe.Registry
	// dispatched counts upstream requests, indexed by admit.Kind.
	dispatched [admit.KindHedge + 1]metrics.Counter
	refused    metrics.Counter
	// ended counts replicas that ended while running a request, once for each request they were running.
	ended   metrics.Counter
	depth   metrics.Gauge
	waiting atomic.Int64
}

func newMeters(registry observe.Registry) *meters {
	m := &meters{registry: registry}
	m.dispatched[admit.KindFirst] = observe.Counter(registry, "owner_first_tries_total")
	m.dispatched[admit.KindRedispatch] = observe.Counter(registry, "owner_redispatches_total")
	m.dispatched[admit.KindRetry] = observe.Counter(registry, "owner_retries_total")
	m.dispatched[admit.KindHedge] = observe.Counter(registry, "owner_hedges_total")
	m.refused = observe.Counter(registry, "owner_refused_connections_total")
	m.ended = observe.Counter(registry, "owner_replicas_ended_total")
	m.depth = observe.Gauge(registry, "owner_queue_depth")
	return m
}

// countShed counts a refused request under its reason.
func (m *meters) countShed(reason core.Reason) {
	observe.Counter(m.registry, "owner_shed_"+string(reason)+"_total").Inc(1)
}

// addWaiting adds a change in the number of queued requests.
func (m *meters) addWaiting(change int) {
	if change != 0 {
		m.depth.Update(m.waiting.Add(int64(change)))
	}
}
