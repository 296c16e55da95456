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

// meters are the entry's counters.
type meters struct {
	questions, refused, setAside     metrics.Counter
	thin, belowLeast                 metrics.Counter
	sends, retries, fallbacks        metrics.Counter
	dropped, switches, replans, lost metrics.Counter
	// undelivered are events that met a full ring until their question's deadline.
	undelivered metrics.Counter
}

func newMeters(registry observe.Registry) *meters {
	counter := func(name string) metrics.Counter { return observe.Counter(registry, "entry_"+name+"_total") }
	return &meters{
		questions:  counter("questions"),
		refused:    counter("refused"),
		setAside:   counter("refused_set_aside"),
		thin:       counter("answers_thin"),
		belowLeast: counter("answers_below_least"),
		sends:      counter("sends"),
		retries:    counter("retries"),
		fallbacks:  counter("fallbacks"),
		dropped:    counter("dropped_replies"),
		switches:   counter("version_switches"),
		replans:    counter("replans"),
		lost:       counter("questions_cancelled"),

		undelivered: counter("events_undelivered"),
	}
}

func (m *meters) answered(answer *query.Answer) {
	m.sends.Inc(int64(answer.Sends))
	m.retries.Inc(int64(answer.Retries))
	m.fallbacks.Inc(int64(answer.Fallbacks))
	m.dropped.Inc(int64(answer.Dropped))
	m.switches.Inc(int64(answer.Switches))
	m.replans.Inc(int64(answer.Replans))
	if answer.Reason == core.ReasonCancelled {
		m.lost.Inc(1)
		return
	}
	if answer.Coverage.Answered < answer.Coverage.Asked {
		m.thin.Inc(1)
	}
	if answer.BelowLeast {
		m.belowLeast.Inc(1)
	}
}

// thinQuiet is how long a thin service stays reported when no question shows
// that it still is, or no longer is.
const thinQuiet = 10 * time.Minute

// thinWatch reports services whose shards are missing from answers, and clears
// the report once an answer has them all again. It is one for all loops of the
// node: with one for each, a whole answer on another loop than the thin one's
// cleared nothing, and the problem stood long after it was over.
type thinWatch struct {
	problems *observe.Problems
	mutex    sync.Mutex
	reported map[string]bool
	// count is the size of reported: whole answers of a healthy node take no lock.
	count atomic.Int64
}

func newThinWatch(problems *observe.Problems) *thinWatch {
	return &thinWatch{problems: problems, reported: map[string]bool{}}
}

// answered takes in one answer to a question by the plan. hasty says that the
// caller gave less time than the service is written to take.
func (w *thinWatch) answered(plan *query.Plan, answer *query.Answer, hasty bool) {
	if answer.Reason == core.ReasonCancelled {
		return
	}
	if len(answer.Coverage.Missing) == 0 && w.count.Load() == 0 {
		return
	}
	missing := map[string]query.Missing{}
	for _, one := range answer.Coverage.Missing {
		missing[one.Ref.Service] = one
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range plan.Services {
		w.service(plan.Services[i].Name, missing, hasty)
	}
	w.count.Store(int64(len(w.reported)))
}

func (w *thinWatch) service(name string, missing map[string]query.Missing, hasty bool) {
	one, thin := missing[name]
	switch {
	case !thin && w.reported[name]:
		w.clear(name)
	case thin && !chosen(one.Reason, hasty):
		w.reported[name] = true
		detail := fmt.Sprintf("shard %d is missing from answers: %s", one.Ref.Shard, one.Reason)
		w.problems.ReportWithTTL(observe.KindThinService, name, detail, thinQuiet)
	}
}

func (w *thinWatch) clear(name string) {
	delete(w.reported, name)
	w.problems.Clear(observe.KindThinService, name)
}

// chosen reports whether the caller's own choice left the shard out: no fault
// of the service, and nothing that an operator should be woken for.
func chosen(reason core.Reason, hasty bool) bool {
	switch reason {
	case core.ReasonStraggler, core.ReasonNotAsked:
		return true
	case core.ReasonDeadline, core.ReasonDependency:
		return hasty
	default:
		return false
	}
}

// retain clears the reports on services that the text no longer lists.
func (w *thinWatch) retain(listed func(string) bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for name := range w.reported {
		if !listed(name) {
			w.clear(name)
		}
	}
	w.count.Store(int64(len(w.reported)))
}
