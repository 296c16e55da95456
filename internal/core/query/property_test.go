package query

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

var testReasons = []core.Reason{
	core.ReasonOverloaded, core.ReasonNoReplica, core.ReasonUpstreamFailed, core.ReasonNotOwner,
	core.ReasonPeerLost, core.ReasonPeerUnreached, core.ReasonLayout, core.ReasonVersionGone,
}

// drawPlan draws services that depend on any of the earlier ones.
func drawPlan(t *rapid.T) *Plan {
	var services []ServicePlan
	var needs []Need
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		service := ServicePlan{Name: fmt.Sprint("s", i)}
		for j := range i {
			if rapid.Bool().Draw(t, "depends") {
				service.DependsOn = append(service.DependsOn, j)
			}
		}
		for shard := range rapid.IntRange(1, 3).Draw(t, "shards") {
			bundle := core.BundleID(10*i + rapid.IntRange(0, 1).Draw(t, "bundle"))
			service.Shards = append(service.Shards, len(needs))
			needs = append(needs, Need{Ref: core.ShardRef{Service: service.Name, Shard: shard}, Bundle: bundle, Service: i})
		}
		services = append(services, service)
	}
	return NewPlan(services, needs)
}

// countedBudget lets extra tries through by a real bucket and counts them.
type countedBudget struct {
	bucket *budget.Budget
	first  int
	extra  int
}

func (b *countedBudget) FirstTry(_ string, n int) {
	b.first += n
	b.bucket.FirstTry(n)
}

func (b *countedBudget) TryExtra(string) bool {
	granted := b.bucket.TryExtra()
	if granted {
		b.extra++
	}
	return granted
}

// drawIndexes draws up to three indexes from 0 to 3*count, most of them not below count.
func drawIndexes(t *rapid.T, label string, count int) map[int]bool {
	indexes := map[int]bool{}
	for _, index := range rapid.SliceOfN(rapid.IntRange(0, 3*count), 0, 3).Draw(t, label) {
		indexes[index] = true
	}
	return indexes
}

func drawOptions(t *rapid.T, b Budget) Options {
	return Options{
		Deadline:      testDeadline,
		LeastCoverage: rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(t, "least"),
		Preference:    rapid.SampledFrom([]Preference{PreferWhole, PreferEarly}).Draw(t, "prefer"),
		Preferred:     rapid.SampledFrom([]core.Version{0, 7, 8}).Draw(t, "preferred"),
		RetryPause:    testPause,
		MaxTries:      rapid.IntRange(1, 3).Draw(t, "tries"),
		MaxReroutes:   2,
		MaxSwitches:   rapid.IntRange(0, 3).Draw(t, "switches"),
		SwitchReserve: rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 97 * time.Millisecond}).Draw(t, "reserve"),
		MaxReplans:    rapid.IntRange(0, 2).Draw(t, "replans"),
		FallbackAfter: rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond}).Draw(t, "fallback"),
		Budget:        b,
		Precautions: Precautions{
			Suspect:         rapid.IntRange(0, 3).Draw(t, "suspect") == 0,
			SuspectServices: drawIndexes(t, "suspect services", 3),
			SuspectNeeds:    drawIndexes(t, "suspect needs", 6),
			SetAside:        drawIndexes(t, "set aside", 6),
		},
	}
}

// kinds weighs what may happen next; honest replies are most of it, so that
// questions get far enough to be broken.
var kinds = []string{
	"part", "part", "part", "part", "part", "part", "part", "part", "gone back", "gone back",
	"failed", "crossed", "late", "index", "wake", "time", "send failed", "unknown", "text", "cancel",
}

// disturb does one thing that may happen at any moment: an honest reply, a
// crossed, late, repeated, cut or unknown one, a failure, an alarm, another
// index version at a shard, or a newer text.
func (w *world) disturb(t *rapid.T) {
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	last := rapid.IntRange(0, 9).Draw(t, "last") == 9
	switch kind {
	case "part", "failed", "crossed", "late", "send failed":
		w.reply(t, kind, last)
	case "unknown":
		w.step(PartArrived{Send: SendID(rapid.IntRange(0, 9).Draw(t, "send")), Need: rapid.SampledFrom([]int{-1, 99}).Draw(t, "need"), Version: 7})
	case "wake":
		w.now = w.wake
		w.step(Woken{})
	case "time":
		w.now = min(w.now+time.Millisecond, w.wake)
	case "index":
		ref := rapid.SampledFrom(w.plan.Needs).Draw(t, "shard").Ref
		w.serves[ref] = rapid.SampledFrom([][]core.Version{{7}, {7, 8}, {8}, {8, 9}, {9}}).Draw(t, "serves")
	case "gone back":
		version := rapid.SampledFrom([]core.Version{7, 8}).Draw(t, "all serve")
		for ref := range w.serves {
			w.serves[ref] = []core.Version{version}
		}
	case "text":
		if rapid.IntRange(0, 3).Draw(t, "really") == 3 {
			w.replan(drawPlan(t))
		}
	case "cancel":
		if rapid.IntRange(0, 9).Draw(t, "really") == 9 {
			w.step(Cancelled{})
		}
	}
}

func (w *world) reply(t *rapid.T, kind string, last bool) {
	from := w.pending
	if kind == "late" {
		from = w.replied
	}
	if len(from) == 0 {
		return
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, "which")
	a := from[i]
	if kind != "late" {
		a = w.take(i)
	}
	switch kind {
	case "part", "late":
		w.step(w.part(a, last))
	case "failed":
		w.step(PartFailed{
			Send: a.send.ID, Need: a.need, Last: last,
			Outcome: rapid.SampledFrom([]core.Outcome{core.NotRun, core.Unknown}).Draw(t, "outcome"),
			Reason:  rapid.SampledFrom(testReasons).Draw(t, "reason"),
			Broken:  rapid.Bool().Draw(t, "broken"),
		})
	case "send failed":
		w.step(SendFailed{Send: a.send.ID, Reason: core.ReasonPeerLost})
	case "crossed":
		w.step(w.partAt(a, rapid.SampledFrom([]core.Version{0, 6, 7, 8}).Draw(t, "version"), last))
	}
}

// replan offers the machine a newer text, which it may decline.
func (w *world) replan(plan *Plan) {
	if w.finished != nil {
		return
	}
	for _, need := range plan.Needs {
		if w.serves[need.Ref] == nil {
			w.serves[need.Ref] = []core.Version{7, 8}
		}
	}
	if w.m.replans < w.options.MaxReplans && !plan.Equal(w.plan) {
		w.plan = plan
	}
	w.step(Replanned{Plan: plan})
	if w.m.Plan() != w.plan {
		w.t.Errorf("the plan was not taken over")
	}
}

// A chef would set a special on prices of two indexes, or a supervisor read a
// list that hides what it lacks. Replies come late, crossed, twice and cut, the
// index moves, the text is changed and owners fall silent, all in any order;
// whatever the order, the answer keeps what world.checkAnswer checks.
func TestNoOrderOfEventsBreaksAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &countedBudget{bucket: budget.New(budget.Config{Floor: 2})}
		w := newWorld(t, drawPlan(t), drawOptions(t, b), 7, 8)
		w.step(Started{})
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			if w.finished == nil && w.now >= w.wake {
				w.now = w.wake
				w.step(Woken{})
			}
			w.disturb(t)
		}
		w.drain()
		w.step(Woken{})
		if w.finished.Fallbacks > b.extra {
			t.Errorf("%d fallbacks, %d of them from the budget", w.finished.Fallbacks, b.extra)
		}
		if b.extra*10 > b.first+2*10 {
			t.Errorf("%d extra tries for %d first ones", b.extra, b.first)
		}
	})
}
