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

// countingBudget grants extra attempts from a real budget and counts them.
type countingBudget struct {
	bucket *budget.Budget
	first  int
	extra  int
}

func (b *countingBudget) AddFirst(_ string, n int) {
	b.first += n
	b.bucket.AddFirst(n)
}

func (b *countingBudget) TakeExtra(string) bool {
	granted := b.bucket.TakeExtra()
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

// eventKinds lists each kind of event as often as its weight. Most events are valid replies, so
// that queries get far enough for the other events to matter.
var eventKinds = []string{
	"part", "part", "part", "part", "part", "part", "part", "part", "one version", "one version",
	"failed", "crossed", "late", "index", "wake", "time", "send failed", "unknown", "text", "cancel",
}

// randomEvent applies one random event: a valid, crossed, late, repeated, cut or unknown reply, a
// failure, an alarm, another index version at a shard, or a newer configuration.
func (h *harness) randomEvent(t *rapid.T) {
	kind := rapid.SampledFrom(eventKinds).Draw(t, "kind")
	last := rapid.IntRange(0, 9).Draw(t, "last") == 9
	switch kind {
	case "part", "failed", "crossed", "late", "send failed":
		h.reply(t, kind, last)
	case "unknown":
		h.step(PartArrived{Send: SendID(rapid.IntRange(0, 9).Draw(t, "send")), Need: rapid.SampledFrom([]int{-1, 99}).Draw(t, "need"), Version: 7})
	case "wake":
		h.now = h.wake
		h.step(Woken{})
	case "time":
		h.now = min(h.now+time.Millisecond, h.wake)
	case "index":
		ref := rapid.SampledFrom(h.plan.Needs).Draw(t, "shard").Ref
		h.serves[ref] = rapid.SampledFrom([][]core.Version{{7}, {7, 8}, {8}, {8, 9}, {9}}).Draw(t, "serves")
	case "one version":
		version := rapid.SampledFrom([]core.Version{7, 8}).Draw(t, "all serve")
		for ref := range h.serves {
			h.serves[ref] = []core.Version{version}
		}
	case "text":
		if rapid.IntRange(0, 3).Draw(t, "really") == 3 {
			h.replan(drawPlan(t))
		}
	case "cancel":
		if rapid.IntRange(0, 9).Draw(t, "really") == 9 {
			h.step(Cancelled{})
		}
	}
}

func (h *harness) reply(t *rapid.T, kind string, last bool) {
	from := h.pending
	if kind == "late" {
		from = h.replied
	}
	if len(from) == 0 {
		return
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, "which")
	a := from[i]
	if kind != "late" {
		a = h.take(i)
	}
	switch kind {
	case "part", "late":
		h.step(h.honestReply(a, last))
	case "failed":
		h.step(PartFailed{
			Send: a.send.ID, Need: a.need, Last: last,
			Outcome: rapid.SampledFrom([]core.Outcome{core.NotRun, core.Unknown}).Draw(t, "outcome"),
			Reason:  rapid.SampledFrom(testReasons).Draw(t, "reason"),
			Broken:  rapid.Bool().Draw(t, "broken"),
		})
	case "send failed":
		h.step(SendFailed{Send: a.send.ID, Reason: core.ReasonPeerLost})
	case "crossed":
		h.step(h.replyAt(a, rapid.SampledFrom([]core.Version{0, 6, 7, 8}).Draw(t, "version"), last))
	}
}

// replan offers the machine the plan of a newer configuration, which it may decline.
func (h *harness) replan(plan *Plan) {
	if h.finished != nil {
		return
	}
	for _, need := range plan.Needs {
		if h.serves[need.Ref] == nil {
			h.serves[need.Ref] = []core.Version{7, 8}
		}
	}
	if h.m.replans < h.options.MaxReplans && !plan.Equal(h.plan) {
		h.plan = plan
	}
	h.step(Replanned{Plan: plan})
	if h.m.Plan() != h.plan {
		h.t.Errorf("the machine did not adopt the new plan")
	}
}

// Guards against answers that mix index versions or hide missing parts. Replies arrive late,
// crossed, repeated and cut, the index and the configuration change and owners stay silent, in any
// order. Every answer must pass harness.checkAnswer.
func TestNoOrderOfEventsBreaksAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &countingBudget{bucket: budget.New(budget.Config{Floor: 2})}
		h := newHarness(t, drawPlan(t), drawOptions(t, b), 7, 8)
		h.step(Started{})
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			if h.finished == nil && h.now >= h.wake {
				h.now = h.wake
				h.step(Woken{})
			}
			h.randomEvent(t)
		}
		h.runToEnd()
		h.step(Woken{})
		if h.finished.Fallbacks > b.extra {
			t.Errorf("%d fallbacks, but only %d tokens granted", h.finished.Fallbacks, b.extra)
		}
		if b.extra*10 > b.first+2*10 {
			t.Errorf("%d extra attempts for %d first attempts", b.extra, b.first)
		}
	})
}
