package query

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// testDeadline and the other times are small, so that events fall on alarms.
const (
	testDeadline = 100 * time.Millisecond
	testPause    = 5 * time.Millisecond
)

// fatal is what both testing.T and rapid.T offer.
type fatal interface {
	Errorf(format string, args ...any)
	FailNow()
}

// madePart is a part as an upstream computed it. It is the payload, so that an
// answer shows what each part was computed from.
type madePart struct {
	// ID is its content: what it was computed from, all the way down.
	ID      string
	Ref     core.ShardRef
	Version core.Version
	// Shards is the layout of the service that it was computed in.
	Shards int
	// Inputs are the ids of the dependencies' parts given, by shard.
	Inputs map[string]string
}

// asked is one shard of a message on its way.
type asked struct {
	send   Send
	need   int
	plan   *Plan
	inputs map[string]string
}

// world stands for everything outside one question and checks each of the
// machine's steps.
type world struct {
	t       fatal
	m       *Machine
	plan    *Plan
	options Options
	now     core.Time
	wake    core.Time
	serves  map[core.ShardRef][]core.Version
	// pending are shards that have not replied, replied those that have.
	pending []asked
	replied []asked
	// ended are the sends that will bring no more replies.
	ended    map[SendID]bool
	sent     int
	finished *Answer
}

func newWorld(t fatal, plan *Plan, options Options, serves ...core.Version) *world {
	w := &world{t: t, plan: plan, options: options.withDefaults(), m: New(plan, options), serves: map[core.ShardRef][]core.Version{}, ended: map[SendID]bool{}}
	for _, need := range plan.Needs {
		w.serves[need.Ref] = serves
	}
	return w
}

// step gives the machine an event and checks what it does.
func (w *world) step(event Event) {
	over := w.finished != nil
	switch e := event.(type) {
	case PartArrived:
		w.ended[e.Send] = w.ended[e.Send] || e.Last
	case PartFailed:
		w.ended[e.Send] = w.ended[e.Send] || e.Last
	case SendFailed:
		w.ended[e.Send] = true
	}
	switches := w.m.switches
	actions := w.m.Step(w.now, event)
	if w.m.switches > switches {
		require.LessOrEqual(w.t, w.m.switches, w.options.MaxSwitches, "too many switches")
		require.Greater(w.t, w.options.Deadline-w.now, w.options.SwitchReserve, "a switch in the reserve")
	}
	if over {
		require.Empty(w.t, actions, "nothing follows the Finish")
		return
	}
	for _, action := range actions {
		require.Nil(w.t, w.finished, "an action after the Finish")
		w.act(action)
	}
	if w.finished == nil {
		require.Less(w.t, w.now, w.options.Deadline, "the question outlives its deadline")
		require.Greater(w.t, w.wake, w.now, "the alarm is not in the future")
		require.LessOrEqual(w.t, w.wake, w.options.Deadline, "the alarm comes after the deadline")
		w.checkCounts()
		w.checkProgress()
	}
}

func (w *world) act(action Action) {
	switch a := action.(type) {
	case Send:
		w.sent++
		require.EqualValues(w.t, w.sent, a.ID)
		require.Equal(w.t, w.options.Deadline-w.now, a.TimeLeft)
		require.Positive(w.t, a.TimeLeft)
		require.NotEmpty(w.t, a.Needs)
		for _, need := range a.Needs {
			require.Equal(w.t, a.Bundle, w.plan.Needs[need].Bundle)
			w.pending = append(w.pending, asked{send: a, need: need, plan: w.plan, inputs: w.inputs(need, a.Version)})
		}
	case WakeAt:
		w.wake = a.At
	case Finish:
		w.finished = &a.Answer
		w.checkAnswer(a.Answer)
	}
}

// inputs are what the entry would give the shard of its dependencies' parts.
func (w *world) inputs(need int, version core.Version) map[string]string {
	inputs := map[string]string{}
	for _, dependency := range w.plan.Services[w.plan.Needs[need].Service].DependsOn {
		for _, part := range w.m.Parts(dependency, version) {
			inputs[part.Ref.String()] = made(w.t, part.Payload).ID
		}
	}
	return inputs
}

func made(t fatal, payload []byte) madePart {
	var part madePart
	require.NoError(t, json.Unmarshal(payload, &part))
	return part
}

// part is the shard's honest reply: the version asked for or the newest, or
// "version gone" when it has it no longer.
func (w *world) part(a asked, last bool) Event {
	ref := a.plan.Needs[a.need].Ref
	serves := w.serves[ref]
	version := a.send.Version
	if version == 0 {
		version = serves[len(serves)-1]
	}
	if !slices.Contains(serves, version) {
		return PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.NotRun, Reason: core.ReasonVersionGone, Serves: serves, Last: last}
	}
	return w.partAt(a, version, last)
}

func (w *world) partAt(a asked, version core.Version, last bool) Event {
	written := a.plan.Needs[a.need]
	shards := len(a.plan.Services[written.Service].Shards)
	payload, err := json.Marshal(madePart{
		ID: fmt.Sprint(written.Ref, version, shards, a.inputs), Ref: written.Ref, Version: version,
		Shards: shards, Inputs: a.inputs,
	})
	require.NoError(w.t, err)
	return PartArrived{Send: a.send.ID, Need: a.need, Version: version, Serves: w.serves[written.Ref], Payload: payload, Last: last}
}

// drain lets only alarms ring until the question ends.
func (w *world) drain() {
	for range 1000 {
		if w.finished != nil {
			return
		}
		w.now = w.wake
		w.step(Woken{})
	}
	require.Fail(w.t, "the question does not end")
}

// take removes a shard that has not replied.
func (w *world) take(i int) asked {
	a := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	w.replied = append(w.replied, a)
	return a
}

// checkProgress finds a shard that is waited for although nothing can come.
func (w *world) checkProgress() {
	for id, ended := range w.ended {
		if ended && int(id) <= len(w.m.sends) {
			require.Empty(w.t, w.m.sends[id-1].left, "send %d has ended and is waited for", id)
		}
	}
	for _, send := range w.m.sends {
		require.True(w.t, !send.open() || send.silentAt == 0 || w.wake <= send.silentAt, "no alarm for a silent owner")
		require.True(w.t, !send.open() || send.version == 0 || send.version == w.m.target, "a send of a former version is open")
	}
	for index := range w.m.needs {
		need := &w.m.needs[index]
		// Of a service that is asked one shard at a time the others wait for the one in work.
		service := w.plan.Needs[index].Service
		held := w.m.oneAtATime(service) && w.hasPendingShard(service) || w.m.oneAtATime(allServices) && w.hasPendingShard(allServices)
		if need.open == 0 && !need.settled && need.retryAt > 0 && (need.retryAt > w.now || !held) {
			require.LessOrEqual(w.t, w.wake, need.retryAt, "no alarm for the retry")
		}
		if need.open > 0 || need.settled || need.retryAt > 0 || w.m.hasTarget(index) {
			continue
		}
		if held {
			continue
		}
		require.False(w.t, w.m.ready(service), "shard %d is not asked", index)
	}
}

// hasPendingShard reports whether a shard of the service is being asked or has a retry scheduled.
func (w *world) hasPendingShard(service int) bool {
	return w.m.anyShard(service, func(need *needState) bool { return need.open > 0 || !need.settled && need.retryAt > w.now })
}

func (w *world) checkCounts() {
	answered, settled, services := w.m.answered, w.m.settled, append([]serviceState(nil), w.m.services...)
	due := w.m.dueChanged
	w.m.recount()
	w.m.dueChanged = due
	require.Equal(w.t, w.m.answered, answered)
	require.Equal(w.t, w.m.settled, settled)
	require.Equal(w.t, w.m.services, services)
}

// checkAnswer is the promise to the caller: one version, one layout, dependents
// computed from the very parts that stand beside them, and true coverage.
func (w *world) checkAnswer(answer Answer) {
	merged := map[string]madePart{}
	for _, part := range answer.Parts {
		one := made(w.t, part.Payload)
		require.Equal(w.t, part.Ref, one.Ref)
		require.Equal(w.t, answer.Version, one.Version, "a part of another version")
		require.NotContains(w.t, merged, part.Ref.String(), "a shard stands twice")
		merged[part.Ref.String()] = one
	}
	incomplete, incompleteServices := 0, map[string]bool{}
	for _, service := range w.plan.Services {
		inputs := map[string]string{}
		for _, dependency := range service.DependsOn {
			name := w.plan.Services[dependency].Name
			incompleteServices[service.Name] = incompleteServices[service.Name] || incompleteServices[name]
			for _, need := range w.plan.Services[dependency].Shards {
				part, ok := merged[w.plan.Needs[need].Ref.String()]
				if !ok {
					incompleteServices[service.Name] = true
					continue
				}
				inputs[part.Ref.String()] = part.ID
			}
		}
		for _, need := range service.Shards {
			part, ok := merged[w.plan.Needs[need].Ref.String()]
			if !ok {
				continue
			}
			require.Equal(w.t, len(service.Shards), part.Shards, "a part of another layout")
			require.Equal(w.t, inputs, part.Inputs, "%s was computed from other parts than those beside it", part.Ref)
			if incompleteServices[service.Name] {
				incomplete++
			}
		}
	}
	w.checkCoverage(answer, merged, incomplete)
}

func (w *world) checkCoverage(answer Answer, merged map[string]madePart, incomplete int) {
	coverage := answer.Coverage
	require.Equal(w.t, len(w.plan.Needs), coverage.Asked)
	require.Equal(w.t, len(merged), coverage.Answered)
	require.Equal(w.t, coverage.Asked-coverage.Answered, len(coverage.Missing))
	require.Equal(w.t, incomplete, coverage.Incomplete)
	require.Equal(w.t, coverage.Answered < w.options.leastOf(coverage.Asked), answer.BelowLeast)
	for _, missing := range coverage.Missing {
		require.NotContains(w.t, merged, missing.Ref.String())
		require.NotEmpty(w.t, missing.Reason)
		if missing.Reason == core.ReasonDeadline {
			require.Equal(w.t, core.ReasonDeadline, answer.Reason, "a shard is said to be late before the deadline")
		}
	}
}
