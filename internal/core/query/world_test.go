package query

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// testDeadline and the other times are small, so that events coincide with alarms.
const (
	testDeadline = 100 * time.Millisecond
	testPause    = 5 * time.Millisecond
)

// testingT is the part of testing.T and rapid.T that the harness uses.
type testingT interface {
	Errorf(format string, args ...any)
	FailNow()
}

// fakePart is a part computed by a simulated upstream. It is the payload, so that an answer shows
// what each part was computed from.
type fakePart struct {
	// ID represents the content: everything that the part was computed from, directly or
	// transitively.
	ID      string
	Ref     core.ShardRef
	Version core.Version
	// Shards is the layout of the service when the part was computed.
	Shards int
	// Inputs holds the IDs of the dependencies' parts that were passed in, by shard.
	Inputs map[string]string
}

// pendingShard is one shard of a send.
type pendingShard struct {
	send   Send
	need   int
	plan   *Plan
	inputs map[string]string
}

// harness simulates everything outside one query and checks each step of the machine.
type harness struct {
	t       testingT
	m       *Machine
	plan    *Plan
	options Options
	now     core.Time
	wake    core.Time
	serves  map[core.ShardRef][]core.Version
	// pending holds the shards that have not replied, replied those that have.
	pending []pendingShard
	replied []pendingShard
	// ended holds the sends that bring no further replies.
	ended     map[SendID]bool
	sendCount int
	finished  *Answer
}

func newHarness(t testingT, plan *Plan, options Options, serves ...core.Version) *harness {
	h := &harness{t: t, plan: plan, options: options.withDefaults(), m: New(plan, options), serves: map[core.ShardRef][]core.Version{}, ended: map[SendID]bool{}}
	for _, need := range plan.Needs {
		h.serves[need.Ref] = serves
	}
	return h
}

// step passes an event to the machine and checks the resulting state and actions.
func (h *harness) step(event Event) {
	finishedBefore := h.finished != nil
	switch e := event.(type) {
	case PartArrived:
		h.ended[e.Send] = h.ended[e.Send] || e.Last
	case PartFailed:
		h.ended[e.Send] = h.ended[e.Send] || e.Last
	case SendFailed:
		h.ended[e.Send] = true
	}
	switches := h.m.switches
	actions := h.m.Step(h.now, event)
	if h.m.switches > switches {
		require.LessOrEqual(h.t, h.m.switches, h.options.MaxSwitches, "too many switches")
		require.Greater(h.t, h.options.Deadline-h.now, h.options.SwitchReserve, "a switch within the reserve before the deadline")
	}
	if finishedBefore {
		require.Empty(h.t, actions, "actions after Finish")
		return
	}
	for _, action := range actions {
		require.Nil(h.t, h.finished, "an action after Finish")
		h.act(action)
	}
	if h.finished == nil {
		require.Less(h.t, h.now, h.options.Deadline, "the query runs past its deadline")
		require.Greater(h.t, h.wake, h.now, "the alarm is not in the future")
		require.LessOrEqual(h.t, h.wake, h.options.Deadline, "the alarm is after the deadline")
		h.checkCounts()
		h.checkNoStall()
	}
}

func (h *harness) act(action Action) {
	switch a := action.(type) {
	case Send:
		h.sendCount++
		require.EqualValues(h.t, h.sendCount, a.ID)
		require.Equal(h.t, h.options.Deadline-h.now, a.TimeLeft)
		require.Positive(h.t, a.TimeLeft)
		require.NotEmpty(h.t, a.Needs)
		for _, need := range a.Needs {
			require.Equal(h.t, a.Bundle, h.plan.Needs[need].Bundle)
			h.pending = append(h.pending, pendingShard{send: a, need: need, plan: h.plan, inputs: h.inputs(need, a.Version)})
		}
	case WakeAt:
		h.wake = a.At
	case Finish:
		h.finished = &a.Answer
		h.checkAnswer(a.Answer)
	}
}

// inputs returns the dependencies' parts that the entry would pass to the shard.
func (h *harness) inputs(need int, version core.Version) map[string]string {
	inputs := map[string]string{}
	for _, dependency := range h.plan.Services[h.plan.Needs[need].Service].DependsOn {
		for _, part := range h.m.Parts(dependency, version) {
			inputs[part.Ref.String()] = decodePart(h.t, part.Payload).ID
		}
	}
	return inputs
}

func decodePart(t testingT, payload []byte) fakePart {
	var part fakePart
	require.NoError(t, json.Unmarshal(payload, &part))
	return part
}

// honestReply returns a part of the requested version, or of the newest one if none was requested,
// or "version gone" if the shard does not serve it.
func (h *harness) honestReply(a pendingShard, last bool) Event {
	ref := a.plan.Needs[a.need].Ref
	serves := h.serves[ref]
	version := a.send.Version
	if version == 0 {
		version = serves[len(serves)-1]
	}
	if !slices.Contains(serves, version) {
		return PartFailed{Send: a.send.ID, Need: a.need, Outcome: core.NotRun, Reason: core.ReasonVersionGone, Serves: serves, Last: last}
	}
	return h.replyAt(a, version, last)
}

func (h *harness) replyAt(a pendingShard, version core.Version, last bool) Event {
	need := a.plan.Needs[a.need]
	shards := len(a.plan.Services[need.Service].Shards)
	payload, err := json.Marshal(fakePart{
		ID: fmt.Sprint(need.Ref, version, shards, a.inputs), Ref: need.Ref, Version: version,
		Shards: shards, Inputs: a.inputs,
	})
	require.NoError(h.t, err)
	return PartArrived{Send: a.send.ID, Need: a.need, Version: version, Serves: h.serves[need.Ref], Payload: payload, Last: last}
}

// runToEnd fires only alarms until the query ends.
func (h *harness) runToEnd() {
	for range 1000 {
		if h.finished != nil {
			return
		}
		h.now = h.wake
		h.step(Woken{})
	}
	require.Fail(h.t, "the query does not end")
}

// take removes a shard from the pending ones.
func (h *harness) take(i int) pendingShard {
	a := h.pending[i]
	h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
	h.replied = append(h.replied, a)
	return a
}

// checkNoStall fails if a shard is waited for although no event can bring its part.
func (h *harness) checkNoStall() {
	for id, ended := range h.ended {
		if ended && int(id) <= len(h.m.sends) {
			require.Empty(h.t, h.m.sends[id-1].remaining, "send %d has ended but still has pending shards", id)
		}
	}
	for _, send := range h.m.sends {
		require.True(h.t, !send.open() || send.silentAt == 0 || h.wake <= send.silentAt, "no alarm for a silent owner")
		require.True(h.t, !send.open() || send.version == 0 || send.version == h.m.target, "a send for a former version is still open")
	}
	for index := range h.m.needs {
		need := &h.m.needs[index]
		// If a service is asked one shard at a time, the other shards wait for the one in flight.
		service := h.plan.Needs[index].Service
		held := h.m.oneAtATime(service) && h.hasPendingShard(service) || h.m.oneAtATime(allServices) && h.hasPendingShard(allServices)
		if need.openSends == 0 && !need.settled && need.retryAt > 0 && (need.retryAt > h.now || !held) {
			require.LessOrEqual(h.t, h.wake, need.retryAt, "no alarm for the retry")
		}
		if need.openSends > 0 || need.settled || need.retryAt > 0 || h.m.hasTarget(index) {
			continue
		}
		if held {
			continue
		}
		require.False(h.t, h.m.ready(service), "shard %d is ready but not asked", index)
	}
}

// hasPendingShard reports whether a shard of the service is being asked or has a retry scheduled.
func (h *harness) hasPendingShard(service int) bool {
	return h.m.anyNeed(service, func(need *needState) bool { return need.openSends > 0 || !need.settled && need.retryAt > h.now })
}

func (h *harness) checkCounts() {
	answered, settled, services := h.m.answered, h.m.settled, append([]serviceState(nil), h.m.services...)
	due := h.m.dueChanged
	h.m.recount()
	h.m.dueChanged = due
	require.Equal(h.t, h.m.answered, answered)
	require.Equal(h.t, h.m.settled, settled)
	require.Equal(h.t, h.m.services, services)
}

// checkAnswer checks the guarantees to the caller: one version, one layout, dependents computed
// from exactly the parts in the answer, and correct coverage.
func (h *harness) checkAnswer(answer Answer) {
	merged := map[string]fakePart{}
	for _, part := range answer.Parts {
		decoded := decodePart(h.t, part.Payload)
		require.Equal(h.t, part.Ref, decoded.Ref)
		require.Equal(h.t, answer.Version, decoded.Version, "a part of another version")
		require.NotContains(h.t, merged, part.Ref.String(), "a shard occurs twice")
		merged[part.Ref.String()] = decoded
	}
	incomplete, incompleteServices := 0, map[string]bool{}
	for _, service := range h.plan.Services {
		inputs := map[string]string{}
		for _, dependency := range service.DependsOn {
			name := h.plan.Services[dependency].Name
			incompleteServices[service.Name] = incompleteServices[service.Name] || incompleteServices[name]
			for _, need := range h.plan.Services[dependency].Shards {
				part, ok := merged[h.plan.Needs[need].Ref.String()]
				if !ok {
					incompleteServices[service.Name] = true
					continue
				}
				inputs[part.Ref.String()] = part.ID
			}
		}
		for _, need := range service.Shards {
			part, ok := merged[h.plan.Needs[need].Ref.String()]
			if !ok {
				continue
			}
			require.Equal(h.t, len(service.Shards), part.Shards, "a part of another layout")
			require.Equal(h.t, inputs, part.Inputs, "%s was computed from parts other than those in the answer", part.Ref)
			if incompleteServices[service.Name] {
				incomplete++
			}
		}
	}
	h.checkCoverage(answer, merged, incomplete)
}

func (h *harness) checkCoverage(answer Answer, merged map[string]fakePart, incomplete int) {
	coverage := answer.Coverage
	require.Equal(h.t, len(h.plan.Needs), coverage.Asked)
	require.Equal(h.t, len(merged), coverage.Answered)
	require.Equal(h.t, coverage.Asked-coverage.Answered, len(coverage.Missing))
	require.Equal(h.t, incomplete, coverage.Incomplete)
	require.Equal(h.t, coverage.Answered < h.options.minParts(coverage.Asked), answer.BelowLeast)
	for _, missing := range coverage.Missing {
		require.NotContains(h.t, merged, missing.Ref.String())
		require.NotEmpty(h.t, missing.Reason)
		if missing.Reason == core.ReasonDeadline {
			require.Equal(h.t, core.ReasonDeadline, answer.Reason, "a shard is reported as past the deadline before the deadline")
		}
	}
}
