package confwatch

import (
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// subject is the subject of all problems of the configuration.
const subject = "operators' text"

var kinds = map[config.Problem]observe.Kind{
	config.ProblemRefused:  observe.KindConfigRefused,
	config.ProblemConflict: observe.KindConfigConflict,
	config.ProblemStale:    observe.KindConfigStale,
	config.ProblemOlder:    observe.KindConfigReverted,
}

// report raises a problem. It is logged when it says something new; the age of
// a stale configuration, which changes all night, is logged once.
func (w *Watcher) report(report config.Report) {
	kind := kinds[report.Problem]
	detail := report.Detail
	w.Problems.Report(kind, subject, detail)
	if report.Problem == config.ProblemStale {
		detail = ""
	}
	if logged, ok := w.logged[report.Problem]; ok && logged == detail {
		return
	}
	w.logged[report.Problem] = detail
	w.Log.WithFields(logrus.Fields{"event": string(kind), "detail": report.Detail}).Error("problem of the configuration")
}

func (w *Watcher) clear(problem config.Problem) {
	w.Problems.Clear(kinds[problem], subject)
	delete(w.logged, problem)
}

func (w *Watcher) gauge() {
	observe.Gauge(w.Metrics, "config_revision").Update(int64(w.machine.InForce().Revision))
	observe.Gauge(w.Metrics, "config_age_ms").Update(w.machine.Age(w.Now()).Milliseconds())
	observe.Gauge(w.Metrics, "config_relay").Update(flag(w.follower.Relay()))
	observe.Gauge(w.Metrics, "config_reads_service").Update(flag(w.follower.ReadsService()))
	observe.Gauge(w.Metrics, "config_parked_polls").Update(int64(len(w.parked)))
}

func flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// Dump is the duty's state for operators.
type Dump struct {
	State    string        `json:"state"`
	InForce  config.Mark   `json:"in_force"`
	AgeMs    int64         `json:"age_ms"`
	Relay    bool          `json:"relay"`
	Direct   bool          `json:"reads_service"`
	Watching uint64        `json:"watches_after"`
	Targets  []core.NodeID `json:"follows"`
	Asks     int           `json:"open_asks"`
	Parked   int           `json:"parked_polls"`
	Steps    int           `json:"known_differences"`
	Reads    int64         `json:"service_reads"`
	Events   ring.Stats    `json:"ring"`
}

// dumpRequest has the duty describe itself.
type dumpRequest struct{ reply chan Dump }

func (d dumpRequest) apply(w *Watcher) { d.reply <- w.describe() }

// Dump describes the duty. It waits for the duty's turn; after Close it returns
// the last state.
func (w *Watcher) Dump() Dump {
	request := dumpRequest{make(chan Dump, 1)}
	if w.events.Put(w.ctx, request) == nil {
		select {
		case dump := <-request.reply:
			return dump
		case <-w.ctx.Done():
		}
	}
	w.done.Wait()
	return w.describe()
}

func (w *Watcher) describe() Dump {
	return Dump{
		State:    w.machine.State(),
		InForce:  w.machine.InForce(),
		AgeMs:    w.machine.Age(w.Now()).Milliseconds(),
		Relay:    w.follower.Relay(),
		Direct:   w.follower.ReadsService(),
		Watching: w.machine.WatchAfter(),
		Targets:  append([]core.NodeID(nil), w.follower.Targets()...),
		Asks:     len(w.asks),
		Parked:   len(w.parked),
		Steps:    len(w.history.steps),
		Reads:    observe.Counter(w.Metrics, "config_service_reads_total").Count(),
		Events:   w.events.Stats(),
	}
}
