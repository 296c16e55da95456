package entry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// meters holds the entry's counters.
type meters struct {
	queries, refused, setAside            metrics.Counter
	thin, belowLeastCoverage              metrics.Counter
	sends, retries, fallbacks             metrics.Counter
	dropped, switches, replans, cancelled metrics.Counter
	// undelivered counts events that were dropped because a ring was full until the
	// deadline of their query.
	undelivered metrics.Counter
}

func newMeters(registry observe.Registry) *meters {
	counter := func(name string) metrics.Counter { return observe.Counter(registry, "entry_"+name+"_total") }
	return &meters{
		queries:            counter("questions"),
		refused:            counter("refused"),
		setAside:           counter("refused_set_aside"),
		thin:               counter("answers_thin"),
		belowLeastCoverage: counter("answers_below_least"),
		sends:              counter("sends"),
		retries:            counter("retries"),
		fallbacks:          counter("fallbacks"),
		dropped:            counter("dropped_replies"),
		switches:           counter("version_switches"),
		replans:            counter("replans"),
		cancelled:          counter("questions_cancelled"),

		undelivered: counter("events_undelivered"),
	}
}

func (m *meters) countAnswer(answer *query.Answer) {
	m.sends.Inc(int64(answer.Sends))
	m.retries.Inc(int64(answer.Retries))
	m.fallbacks.Inc(int64(answer.Fallbacks))
	m.dropped.Inc(int64(answer.Dropped))
	m.switches.Inc(int64(answer.Switches))
	m.replans.Inc(int64(answer.Replans))
	if answer.Reason == core.ReasonCancelled {
		m.cancelled.Inc(1)
		return
	}
	if answer.Coverage.Answered < answer.Coverage.Asked {
		m.thin.Inc(1)
	}
	if answer.BelowLeast {
		m.belowLeastCoverage.Inc(1)
	}
}

// thinReportFor is how long a thin service stays reported while no query uses it.
const thinReportFor = 10 * time.Minute

// thinReporter reports thin services, that is services with shards missing from
// answers, and clears the report once an answer includes all of their shards. All loops
// of the node share it: with one for each loop, a complete answer on another loop did
// not clear the report, which stayed long after the fault had ended.
type thinReporter struct {
	problems *observe.Problems
	mutex    sync.Mutex
	reported map[string]bool
	// count is the size of reported. If it is 0, complete answers take no lock.
	count atomic.Int64
}

func newThinReporter(problems *observe.Problems) *thinReporter {
	return &thinReporter{problems: problems, reported: map[string]bool{}}
}

// recordAnswer updates the reports with one answer. shortTimeout tells that the caller's
// timeout was shorter than the configured timeout of the service.
func (r *thinReporter) recordAnswer(plan *query.Plan, answer *query.Answer, shortTimeout bool) {
	if answer.Reason == core.ReasonCancelled {
		return
	}
	if len(answer.Coverage.Missing) == 0 && r.count.Load() == 0 {
		return
	}
	missing := map[string]query.Missing{}
	for _, one := range answer.Coverage.Missing {
		missing[one.Ref.Service] = one
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range plan.Services {
		r.updateService(plan.Services[i].Name, missing, shortTimeout)
	}
	r.count.Store(int64(len(r.reported)))
}

func (r *thinReporter) updateService(name string, missing map[string]query.Missing, shortTimeout bool) {
	one, thin := missing[name]
	switch {
	case !thin && r.reported[name]:
		r.clear(name)
	case thin && !causedByCaller(one.Reason, shortTimeout):
		r.reported[name] = true
		detail := fmt.Sprintf("shard %d is missing from answers: %s", one.Ref.Shard, one.Reason)
		r.problems.ReportWithTTL(observe.KindThinService, name, detail, thinReportFor)
	}
}

func (r *thinReporter) clear(name string) {
	delete(r.reported, name)
	r.problems.Clear(observe.KindThinService, name)
}

// causedByCaller reports whether a shard is missing because of the caller's own options.
// That is no fault of the service and must not alert an operator.
func causedByCaller(reason core.Reason, shortTimeout bool) bool {
	switch reason {
	case core.ReasonStraggler, core.ReasonNotAsked:
		return true
	case core.ReasonDeadline, core.ReasonDependency:
		return shortTimeout
	default:
		return false
	}
}

// retain clears the reports of services that the configuration no longer lists.
func (r *thinReporter) retain(listed func(string) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name := range r.reported {
		if !listed(name) {
			r.clear(name)
		}
	}
	r.count.Store(int64(len(r.reported)))
}
