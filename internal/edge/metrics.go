package edge

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// nodeMetrics holds the metrics of a node. Labels are never names of routes, hosts or callers, whose number
// is unbounded; the number of services with metrics is bounded by maxServices.
type nodeMetrics struct {
	reg      observe.Registry
	mutex    sync.RWMutex
	requests map[requestKind]requestMetrics
	services map[string]*serviceMetrics
	// places counts the claims to places by priority and outcome.
	places map[placeKind]metrics.Counter
	// admissions holds a counter for each kind; it does not change.
	admissions map[admissionKind]metrics.Counter
	// budgetGauges are the names of the gauges that the last update of the budgets registered.
	budgetGauges []string
}

const (
	// sampleSize and sampleDecay are the metrics library's recommended parameters of an exponentially
	// decaying sample that favours the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
	// serviceSampleSize is the sample size of a service: 1 KB each, 1 MB for 1,000 shards. Its p90 rests on
	// 13 values, its p99 on one.
	serviceSampleSize = 128
	// maxServices bounds the services with metrics of their own. Further services are counted under
	// otherServices.
	maxServices   = 1024
	otherServices = "other"
)

// Labels of metrics.
const (
	labelShape    = "shape"
	labelKind     = "kind"
	labelOutcome  = "outcome"
	labelCause    = "cause"
	labelService  = "service"
	labelPriority = "priority"
	labelReturned = "returned"
)

func newNodeMetrics() *nodeMetrics {
	reg := observe.NewRegistry()
	return &nodeMetrics{
		reg: reg, admissions: newAdmissionCounters(reg), requests: map[requestKind]requestMetrics{}, services: map[string]*serviceMetrics{}, places: map[placeKind]metrics.Counter{},
	}
}

// placeKind is the key of the metrics of claims to places.
type placeKind struct {
	priority int
	outcome  string
}

// The outcomes of claims to places.
const (
	placeAtOnce  = "at_once"
	placeWaited  = "waited"
	placeDropped = "dropped"
)

// minPlaceWait is the least time that counts as waiting for a place: a decision takes microseconds.
const minPlaceWait = time.Millisecond

// countPlace counts a claim to a place.
func (m *nodeMetrics) countPlace(priority int, placed bool, waited time.Duration) {
	outcome := placeAtOnce
	switch {
	case !placed:
		outcome = placeDropped
	case waited >= minPlaceWait:
		outcome = placeWaited
	}
	key := placeKind{priority: placement.ClampPriority(priority), outcome: outcome}
	m.mutex.RLock()
	counter := m.places[key]
	m.mutex.RUnlock()
	if counter == nil {
		counter = observe.Counter(m.reg, observe.Labelled("places_total", labelPriority, strconv.Itoa(key.priority), labelOutcome, outcome))
		m.mutex.Lock()
		m.places[key] = counter
		m.mutex.Unlock()
	}
	counter.Inc(1)
}

// requestKind is the key of the metrics of requests.
type requestKind struct {
	gathered, idempotent bool
	outcome              string
}

// requestMetrics are kept by reference, like those of services.
type requestMetrics struct {
	count   metrics.Counter
	latency metrics.Histogram
}

// countRequest counts a request by shape, kind and outcome, and records its latency in microseconds.
func (m *nodeMetrics) countRequest(route *policy.Route, outcome string, latency time.Duration) {
	instruments := m.metricsForKind(requestKind{gathered: route.Gather != nil, idempotent: route.Idempotent, outcome: outcome})
	instruments.count.Inc(1)
	instruments.latency.Update(latency.Microseconds())
}

func (m *nodeMetrics) metricsForKind(key requestKind) requestMetrics {
	m.mutex.RLock()
	instruments, exists := m.requests[key]
	m.mutex.RUnlock()
	if exists {
		return instruments
	}
	shape, kind := "forward", "once"
	if key.gathered {
		shape = "gather"
	}
	if key.idempotent {
		kind = "idempotent"
	}
	labels := []string{labelShape, shape, labelKind, kind, labelOutcome, key.outcome}
	// The registry returns the same metrics to concurrent callers.
	instruments = requestMetrics{
		count:   observe.Counter(m.reg, observe.Labelled("requests_total", labels...)),
		latency: m.histogram(observe.Labelled("request_us", labels...), sampleSize),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[key] = instruments
	return instruments
}

// countRefused counts a request that was refused before any send.
func (m *nodeMetrics) countRefused() { observe.Counter(m.reg, "requests_refused_at_once_total").Inc(1) }

// countRefusedEntry counts a registry entry that names no replica.
func (m *nodeMetrics) countRefusedEntry() { observe.Counter(m.reg, "entries_refused_total").Inc(1) }

// countOutdatedConfig counts an offered configuration that is older than the one in force.
func (m *nodeMetrics) countOutdatedConfig() { observe.Counter(m.reg, "configs_outdated_total").Inc(1) }

// countedPriorities is the number of priorities with metrics of their own. Less urgent ones are counted under the last.
const countedPriorities = 4

// admissionKind is the key of the metrics of admissions.
type admissionKind struct {
	priority int
	verdict  placement.Verdict
	returned comeback.Standing
}

// newAdmissionCounters registers the counters of admissions, so that no metric name is built for each request.
func newAdmissionCounters(reg observe.Registry) map[admissionKind]metrics.Counter {
	counters := map[admissionKind]metrics.Counter{}
	for priority := range countedPriorities {
		for _, verdict := range []placement.Verdict{placement.Send, placement.Reject} {
			for _, returned := range []comeback.Standing{comeback.Unknown, comeback.Early, comeback.InTime} {
				labels := []string{labelPriority, strconv.Itoa(priority), labelOutcome, verdict.String(), labelReturned, returned.String()}
				counters[admissionKind{priority, verdict, returned}] = observe.Counter(reg, observe.Labelled("requests_admission_total", labels...))
			}
		}
	}
	return counters
}

// countAdmission counts the decision on a whole request by the priority of its route, and by how it stands to the time
// that its caller was told.
func (m *nodeMetrics) countAdmission(priority int, outcome placement.Outcome) {
	if outcome.Verdict == placement.Reject {
		observe.Counter(m.reg, "requests_rejected_early_total").Inc(1)
	}
	m.admissions[admissionKind{min(max(priority, 0), countedPriorities-1), outcome.Verdict, outcome.Return}].Inc(1)
}

// countWithheld counts a hedge or retry that was not sent.
func (m *nodeMetrics) countWithheld(reason scatter.Reason) {
	observe.Counter(m.reg, observe.Labelled("sends_withheld_total", labelCause, string(reason))).Inc(1)
}

// countUnusedExcerpt counts an excerpt that was too short for its answer.
func (m *nodeMetrics) countUnusedExcerpt() { observe.Counter(m.reg, "excerpts_unused_total").Inc(1) }

// countReplicaEnded counts a replica that ended with requests in flight.
func (m *nodeMetrics) countReplicaEnded() {
	observe.Counter(m.reg, "replicas_ended_in_work_total").Inc(1)
}

// countSetAside counts a request that was set aside.
func (m *nodeMetrics) countSetAside() { observe.Counter(m.reg, "requests_set_aside_total").Inc(1) }

// countRestart counts a replica that restarted under its id.
func (m *nodeMetrics) countRestart() { observe.Counter(m.reg, "replicas_restarted_total").Inc(1) }

// countConditionsTold and countConditionsReceived count observations of replicas in messages between entries.
func (m *nodeMetrics) countConditionsTold(count int) {
	observe.Counter(m.reg, "replica_conditions_told_total").Inc(int64(count))
}

func (m *nodeMetrics) countConditionsReceived(count int) {
	observe.Counter(m.reg, "replica_conditions_received_total").Inc(int64(count))
}

// countReliefAsked counts a request of this node for relief.
func (m *nodeMetrics) countReliefAsked() { observe.Counter(m.reg, "relief_asked_total").Inc(1) }

// countExtra counts a hedge or retry.
func (m *nodeMetrics) countExtra(cause scatter.Cause) {
	observe.Counter(m.reg, observe.Labelled("sends_extra_total", labelCause, string(cause))).Inc(1)
}

func (m *nodeMetrics) histogram(name string, size int) metrics.Histogram {
	metric := m.reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(size, sampleDecay))
	})
	if histogram, ok := metric.(metrics.Histogram); ok {
		return histogram
	}
	return metrics.NilHistogram{}
}

// serviceMetrics are kept by reference, so that no metric name is built for each send.
type serviceMetrics struct {
	sends   map[scatter.Verdict]metrics.Counter
	latency metrics.Histogram
}

// verdictOutcomes are the outcome labels of verdicts.
var verdictOutcomes = map[scatter.Verdict]string{
	scatter.Succeeded: outcomeWhole, scatter.Failed: outcomeFailed, scatter.Refused: outcomeRefused, scatter.Unreached: "unreached", scatter.NoPlace: "no_place",
}

// countSend counts the end of a send to a service, and records the latency of a whole answer.
func (m *nodeMetrics) countSend(service string, verdict scatter.Verdict, latency time.Duration) {
	instruments := m.metricsForService(service)
	if counter := instruments.sends[verdict]; counter != nil {
		counter.Inc(1)
	}
	if verdict == scatter.Succeeded {
		instruments.latency.Update(latency.Microseconds())
	}
}

func (m *nodeMetrics) metricsForService(name string) *serviceMetrics {
	m.mutex.RLock()
	instruments := m.services[name]
	m.mutex.RUnlock()
	if instruments != nil {
		return instruments
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.services) >= maxServices {
		name = otherServices
	}
	if instruments := m.services[name]; instruments != nil {
		return instruments
	}
	instruments = &serviceMetrics{sends: map[scatter.Verdict]metrics.Counter{}, latency: m.histogram(observe.Labelled("service_send_us", labelService, name), serviceSampleSize)}
	for verdict, outcome := range verdictOutcomes {
		instruments.sends[verdict] = observe.Counter(m.reg, observe.Labelled("service_sends_total", labelService, name, labelOutcome, outcome))
	}
	m.services[name] = instruments
	return instruments
}

// removeServices removes the metrics of services that are no longer configured.
func (m *nodeMetrics) removeServices(isConfigured func(service string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name := range m.services {
		if isConfigured(name) || name == otherServices {
			continue
		}
		delete(m.services, name)
		m.reg.Unregister(observe.Labelled("service_send_us", labelService, name))
		for _, outcome := range verdictOutcomes {
			m.reg.Unregister(observe.Labelled("service_sends_total", labelService, name, labelOutcome, outcome))
		}
	}
}

// unknownValue is reported while no configuration is known or the copy of the store was never confirmed.
const unknownValue = -1

// registerGauges registers the metrics that are computed when they are read.
func (n *Node) registerGauges() {
	watch := func(name string, read func() int64) { observe.GaugeFunc(n.metrics.reg, name, read) }
	watch("requests_in_flight", n.inFlight.Load)
	watch("callers_over_share", func() int64 { return int64(len(n.state.callersOverShare())) })
	watch("returns_expected", func() int64 { return int64(n.state.returnsExpected()) })
	watch("delegated_groups_running", n.delegatedGroups.Load)
	watch("replica_connections", func() int64 { return int64(n.replicas.OpenConnections()) })
	watch("replica_connections_opened_total", n.replicas.ConnectionsOpened)
	watch("replica_connections_not_accepted_total", n.replicas.ConnectionsNotAccepted)
	watch("replica_connection_waiters", func() int64 { return int64(n.replicas.WaitingRequests()) })
	watch("places_waiting", n.places.waiting)
	watch("log_lines_dropped_total", n.log.Dropped)
	watch("peer_links", func() int64 { return int64(n.peerPool.LinkCount()) })
	watch("peer_links_inbound", n.peerServer.LinkCount)
	watch("nodes_live", func() int64 { return int64(len(n.view().Nodes())) })
	watch("data_centres_evacuated", func() (count int64) {
		n.state.withReplicas(func(table *replica.Table, _ core.Time) { count = int64(len(table.Evacuated())) })
		return count
	})
	watch("requests_suspected", func() int64 { return n.quarantine.Count(quarantine.Suspect) })
	watch("requests_set_aside", func() int64 { return n.quarantine.Count(quarantine.SetAside) })
	watch("timers_late_us", n.timerLateness.Load)
	watch("entries_relieved", func() int64 { return int64(len(n.relievedEntries())) })
	watch("replicas_unusual", func() int64 { return int64(len(n.unusualReplicas())) })
	watch("pause_interval_ms", func() (ms int64) {
		n.state.withReplicas(func(table *replica.Table, _ core.Time) {
			every, _ := table.Pauses.Interval()
			ms = every.Milliseconds()
		})
		return ms
	})
	watch("store_calls_total", func() int64 { return n.follower.Counts().StoreCalls })
	watch("store_calls_failed_total", func() int64 { return n.follower.Counts().StoreFailures })
	watch("copy_reads_from_nodes_total", func() int64 { return n.follower.Counts().PeerReads })
	watch("readings_not_taken_total", func() int64 { return n.follower.Counts().ReadingsRejected })
	watch("store_era", func() int64 { return int64(n.storeCopy.Position().Era) })
	watch("store_era_changes_total", func() int64 { return n.follower.Counts().EraChanges })
	watch("copy_lag_ms", func() int64 { return n.follower.Counts().Lag.Milliseconds() })
	watch("beliefs_age_ms", func() int64 {
		if age, known := n.follower.Age(); known {
			return age.Milliseconds()
		}
		return unknownValue
	})
	watch("store_revision", func() int64 { return int64(n.storeCopy.UpTo()) })
	watch("config_version", func() int64 {
		if config := n.state.config.Load(); config != nil {
			return int64(config.Version)
		}
		return unknownValue
	})
	watch("sends_running", func() (running int64) {
		n.state.withReplicas(func(table *replica.Table, _ core.Time) { running = int64(table.InFlight()) })
		return running
	})
}

// updateBudgetGauges sets the gauges of each service's remaining budget for extra arrivals.
func (n *Node) updateBudgetGauges() {
	n.state.mutex.Lock()
	remaining := map[string]float64{}
	n.state.outlook.Budget.Remaining(func(service string, extras float64) { remaining[service] = extras }, n.state.now())
	n.state.mutex.Unlock()
	n.metrics.setBudgetGauges(remaining)
}

func (m *nodeMetrics) setBudgetGauges(remaining map[string]float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, name := range m.budgetGauges {
		m.reg.Unregister(name)
	}
	m.budgetGauges = m.budgetGauges[:0]
	for service, extras := range remaining {
		name := observe.Labelled("extra_left", labelService, service)
		metrics.GetOrRegisterGaugeFloat64(name, m.reg).Update(extras)
		m.budgetGauges = append(m.budgetGauges, name)
	}
}
