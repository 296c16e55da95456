package edge

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// nodeMetrics counts what a node does. Labels are never a route's, host's or caller's name,
// which grow without bound; services have a bound of their own.
type nodeMetrics struct {
	registry observe.Registry
	mutex    sync.RWMutex
	requests map[requestKind]requestMetrics
	services map[string]*serviceMetrics
	// budgets are the names of the gauges that the last reading of the budgets made.
	budgets []string
}

const (
	// sampleSize and sampleDecay are those of an exponentially decaying sample that
	// favours the last five minutes, as the library proposes.
	sampleSize  = 1028
	sampleDecay = 0.015
	// serviceSampleSize is that of a service: 1 KB each, so that 1,000 shards take 1 MB. Its
	// p90 rests on 13 values, its p99 on one.
	serviceSampleSize = 128
	// maxServices bounds the services with metrics of their own; those beyond count as
	// otherServices.
	maxServices   = 1024
	otherServices = "other"
)

// Labels of metrics.
const (
	labelShape   = "shape"
	labelKind    = "kind"
	labelOutcome = "outcome"
	labelCause   = "cause"
	labelService = "service"
)

func newNodeMetrics() *nodeMetrics {
	return &nodeMetrics{registry: observe.NewRegistry(), requests: map[requestKind]requestMetrics{}, services: map[string]*serviceMetrics{}}
}

// requestKind is what requests are told apart by.
type requestKind struct {
	gathered, idempotent bool
	outcome              string
}

// requestMetrics are kept by reference, as those of services are.
type requestMetrics struct {
	count metrics.Counter
	took  metrics.Histogram
}

// request counts a request by shape, kind and outcome, with its time in microseconds.
func (m *nodeMetrics) request(route *policy.Route, outcome string, took time.Duration) {
	one := m.requestsOf(requestKind{gathered: route.Gather != nil, idempotent: route.Idempotent, outcome: outcome})
	one.count.Inc(1)
	one.took.Update(took.Microseconds())
}

func (m *nodeMetrics) requestsOf(of requestKind) requestMetrics {
	m.mutex.RLock()
	one, made := m.requests[of]
	m.mutex.RUnlock()
	if made {
		return one
	}
	shape, kind := "forward", "once"
	if of.gathered {
		shape = "gather"
	}
	if of.idempotent {
		kind = "idempotent"
	}
	labels := []string{labelShape, shape, labelKind, kind, labelOutcome, of.outcome}
	// Whoever comes first registers them; another at the same time gets the same ones.
	one = requestMetrics{
		count: observe.Counter(m.registry, observe.Labelled("requests_total", labels...)),
		took:  m.histogram(observe.Labelled("request_us", labels...), sampleSize),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[of] = one
	return one
}

// refused counts a request that was refused before anything was planned.
func (m *nodeMetrics) refused() { observe.Counter(m.registry, "requests_refused_at_once_total").Inc(1) }

// entryRefused counts a registry entry that names no replica.
func (m *nodeMetrics) entryRefused() { observe.Counter(m.registry, "entries_refused_total").Inc(1) }

// configOutdated counts a configuration that was offered and is older than the one in force.
func (m *nodeMetrics) configOutdated() { observe.Counter(m.registry, "configs_outdated_total").Inc(1) }

// rejectedEarly counts a request of which too few answers were expected in time.
func (m *nodeMetrics) rejectedEarly() {
	observe.Counter(m.registry, "requests_rejected_early_total").Inc(1)
}

// withheld counts a hedge or retry that was not made.
func (m *nodeMetrics) withheld(why scatter.Reason) {
	observe.Counter(m.registry, observe.Labelled("sends_withheld_total", labelCause, string(why))).Inc(1)
}

// excerptUnused counts an excerpt that turned out too short for its answer.
func (m *nodeMetrics) excerptUnused() { observe.Counter(m.registry, "excerpts_unused_total").Inc(1) }

// replicaEnded counts a replica that ended while requests were in work there.
func (m *nodeMetrics) replicaEnded() {
	observe.Counter(m.registry, "replicas_ended_in_work_total").Inc(1)
}

// setAside counts a request that is rejected from now on.
func (m *nodeMetrics) setAside() { observe.Counter(m.registry, "requests_set_aside_total").Inc(1) }

// restarted counts a replica that started again under its id.
func (m *nodeMetrics) restarted() { observe.Counter(m.registry, "replicas_restarted_total").Inc(1) }

// extra counts a send beyond the first.
func (m *nodeMetrics) extra(cause scatter.Cause) {
	observe.Counter(m.registry, observe.Labelled("sends_extra_total", labelCause, string(cause))).Inc(1)
}

func (m *nodeMetrics) histogram(name string, size int) metrics.Histogram {
	made := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(size, sampleDecay))
	})
	if histogram, ok := made.(metrics.Histogram); ok {
		return histogram
	}
	return metrics.NilHistogram{}
}

// serviceMetrics are kept by reference: a name is not put together for each send.
type serviceMetrics struct {
	sends map[scatter.Verdict]metrics.Counter
	took  metrics.Histogram
}

// verdictNames are the outcomes of sends.
var verdictNames = map[scatter.Verdict]string{
	scatter.Succeeded: outcomeWhole, scatter.Failed: outcomeFailed, scatter.Refused: outcomeRefused, scatter.Unreached: "unreached",
}

// send counts the end of a send to a service, and how long a whole answer took.
func (m *nodeMetrics) send(service string, verdict scatter.Verdict, took time.Duration) {
	one := m.service(service)
	if counter := one.sends[verdict]; counter != nil {
		counter.Inc(1)
	}
	if verdict == scatter.Succeeded {
		one.took.Update(took.Microseconds())
	}
}

func (m *nodeMetrics) service(name string) *serviceMetrics {
	m.mutex.RLock()
	one := m.services[name]
	m.mutex.RUnlock()
	if one != nil {
		return one
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.services) >= maxServices {
		name = otherServices
	}
	if one := m.services[name]; one != nil {
		return one
	}
	one = &serviceMetrics{sends: map[scatter.Verdict]metrics.Counter{}, took: m.histogram(observe.Labelled("service_send_us", labelService, name), serviceSampleSize)}
	for verdict, outcome := range verdictNames {
		one.sends[verdict] = observe.Counter(m.registry, observe.Labelled("service_sends_total", labelService, name, labelOutcome, outcome))
	}
	m.services[name] = one
	return one
}

// forget drops the metrics of services that are not configured any more.
func (m *nodeMetrics) forget(wanted func(service string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name := range m.services {
		if wanted(name) || name == otherServices {
			continue
		}
		delete(m.services, name)
		m.registry.Unregister(observe.Labelled("service_send_us", labelService, name))
		for _, outcome := range verdictNames {
			m.registry.Unregister(observe.Labelled("service_sends_total", labelService, name, labelOutcome, outcome))
		}
	}
}

// unknownAge is the age of beliefs that never were confirmed.
const unknownAge = -1

// watchMetrics adds the metrics that are read when they are asked for.
func (n *Node) watchMetrics() {
	watch := func(name string, read func() int64) { observe.Watch(n.metrics.registry, name, read) }
	watch("requests_in_flight", n.inFlight.Load)
	watch("delegated_groups_running", n.delegated.Load)
	watch("replica_connections", func() int64 { return int64(n.replicas.OpenConnections()) })
	watch("replica_connections_opened_total", n.replicas.ConnectionsOpened)
	watch("replica_connection_waiters", func() int64 { return int64(n.replicas.WaitingRequests()) })
	watch("log_lines_dropped_total", n.log.Dropped)
	watch("peer_links", func() int64 { return int64(n.pool.Links()) })
	watch("peer_links_inbound", n.server.Links)
	watch("nodes_live", func() int64 { return int64(len(n.view().Nodes())) })
	watch("data_centres_evacuated", func() (count int64) {
		n.beliefs.note(func(book *replica.Table, _ core.Time) { count = int64(len(book.Evacuated())) })
		return count
	})
	watch("requests_suspected", func() int64 { return n.quarantine.Count(quarantine.Suspect) })
	watch("requests_set_aside", func() int64 { return n.quarantine.Count(quarantine.SetAside) })
	watch("pause_interval_ms", func() (ms int64) {
		n.beliefs.note(func(book *replica.Table, _ core.Time) {
			every, _ := book.Pauses.Interval()
			ms = every.Milliseconds()
		})
		return ms
	})
	watch("store_calls_total", func() int64 { return n.follower.Counts().StoreCalls })
	watch("store_calls_failed_total", func() int64 { return n.follower.Counts().StoreFailures })
	watch("copy_reads_from_nodes_total", func() int64 { return n.follower.Counts().PeerReads })
	watch("readings_not_taken_total", func() int64 { return n.follower.Counts().NotTaken })
	watch("store_era", func() int64 { return int64(n.copied.Reached().Era) })
	watch("store_era_changes_total", func() int64 { return n.follower.Counts().EraChanges })
	watch("copy_lag_ms", func() int64 { return n.follower.Counts().Lag.Milliseconds() })
	watch("beliefs_age_ms", func() int64 {
		if age, known := n.follower.Age(); known {
			return age.Milliseconds()
		}
		return unknownAge
	})
	watch("store_revision", func() int64 { return int64(n.copied.UpTo()) })
	watch("config_version", func() int64 {
		if config := n.beliefs.config.Load(); config != nil {
			return int64(config.Version)
		}
		return unknownAge
	})
	watch("sends_running", func() (running int64) {
		n.beliefs.note(func(book *replica.Table, _ core.Time) { running = int64(book.InFlight()) })
		return running
	})
}

// readBudgets writes down what each service's bound on extra arrivals has left.
func (n *Node) readBudgets() {
	n.beliefs.mutex.Lock()
	left := map[string]float64{}
	n.beliefs.outlook.Budget.Remaining(func(service string, extras float64) { left[service] = extras }, n.beliefs.now())
	n.beliefs.mutex.Unlock()
	n.metrics.setBudgets(left)
}

func (m *nodeMetrics) setBudgets(left map[string]float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, name := range m.budgets {
		m.registry.Unregister(name)
	}
	m.budgets = m.budgets[:0]
	for service, extras := range left {
		name := observe.Labelled("extra_left", labelService, service)
		metrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(extras)
		m.budgets = append(m.budgets, name)
	}
}
