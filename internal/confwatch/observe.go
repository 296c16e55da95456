package confwatch

import (
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// problemSubject is the subject of all configuration problems.
const problemSubject = "operators' text"

var problemKinds = map[config.Problem]observe.Kind{
	config.ProblemRefused:  observe.KindConfigRefused,
	config.ProblemConflict: observe.KindConfigConflict,
	config.ProblemStale:    observe.KindConfigStale,
	config.ProblemOlder:    observe.KindConfigReverted,
}

// report raises a problem and logs it when its detail is new. A stale configuration
// is logged once, since its detail is an age that keeps changing.
func (w *Watcher) report(report config.Report) {
	kind := problemKinds[report.Problem]
	detail := report.Detail
	w.Problems.Report(kind, problemSubject, detail)
	if report.Problem == config.ProblemStale {
		detail = ""
	}
	if logged, ok := w.loggedDetails[report.Problem]; ok && logged == detail {
		return
	}
	w.loggedDetails[report.Problem] = detail
	w.Log.WithFields(logrus.Fields{"event": string(kind), "detail": report.Detail}).Error("configuration problem")
}

func (w *Watcher) clear(problem config.Problem) {
	w.Problems.Clear(problemKinds[problem], problemSubject)
	delete(w.loggedDetails, problem)
}

func (w *Watcher) updateGauges() {
	observe.Gauge(w.Metrics, "config_revision").Update(int64(w.machine.InForce().Revision))
	observe.Gauge(w.Metrics, "config_age_ms").Update(w.machine.Age(w.Now()).Milliseconds())
	observe.Gauge(w.Metrics, "config_relay").Update(boolGauge(w.follower.Relay()))
	observe.Gauge(w.Metrics, "config_reads_service").Update(boolGauge(w.follower.ReadsService()))
	observe.Gauge(w.Metrics, "config_parked_polls").Update(int64(len(w.parked)))
}

func boolGauge(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// Dump is the watcher's state for operators.
type Dump struct {
	State            string        `json:"state"`
	InForce          config.Mark   `json:"in_force"`
	AgeMs            int64         `json:"age_ms"`
	Relay            bool          `json:"relay"`
	ReadsService     bool          `json:"reads_service"`
	WatchAfter       uint64        `json:"watches_after"`
	Relays           []core.NodeID `json:"follows"`
	OpenRequests     int           `json:"open_asks"`
	ParkedPolls      int           `json:"parked_polls"`
	KnownDifferences int           `json:"known_differences"`
	ServiceReads     int64         `json:"service_reads"`
	EventRing        ring.Stats    `json:"ring"`
}

// dumpRequest requests a Dump.
type dumpRequest struct{ reply chan Dump }

func (d dumpRequest) apply(w *Watcher) { d.reply <- w.describe() }

// Dump returns the state of the watcher. It waits for the goroutine that owns the
// state; after Close it returns the last state.
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
		State:            w.machine.State(),
		InForce:          w.machine.InForce(),
		AgeMs:            w.machine.Age(w.Now()).Milliseconds(),
		Relay:            w.follower.Relay(),
		ReadsService:     w.follower.ReadsService(),
		WatchAfter:       w.machine.WatchAfter(),
		Relays:           append([]core.NodeID(nil), w.follower.Targets()...),
		OpenRequests:     len(w.openRequests),
		ParkedPolls:      len(w.parked),
		KnownDifferences: len(w.history.steps),
		ServiceReads:     observe.Counter(w.Metrics, "config_service_reads_total").Count(),
		EventRing:        w.events.Stats(),
	}
}
