package query

import "github.com/pistachiopier/pistachiopier/internal/core"

// Part is one merged shard's payload.
type Part struct {
	Ref     core.ShardRef
	Payload []byte
	// Incomplete is set when it was computed without some dependency's part.
	Incomplete bool
}

// Missing is a shard without a part, and why.
type Missing struct {
	Ref    core.ShardRef
	Reason core.Reason
}

// Coverage counts the shards asked and answered. It is computed from the parts
// merged, never from what was believed.
type Coverage struct {
	Asked    int
	Answered int
	// Incomplete counts the answered shards whose dependencies, direct or not,
	// had a part missing.
	Incomplete int
	Missing    []Missing
}

// Share is the answered share, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// Answer is the result of a question: parts of exactly one version, each
// computed from the very dependencies' parts that stand beside it.
type Answer struct {
	// Version is 0 when no part is there.
	Version  core.Version
	Parts    []Part
	Coverage Coverage
	// BelowLeast is set when less than the caller's least coverage is there.
	BelowLeast bool
	// Reason says what ended the question before all shards were settled, or
	// is empty.
	Reason core.Reason
	// Sends counts messages to owners; Retries and Fallbacks count shards asked
	// again after a failure or beside a silent owner.
	Sends     int
	Retries   int
	Fallbacks int
	// Switches counts changes of version, Replans changes of text.
	Switches int
	Replans  int
	// Dropped counts replies that were not used: late, crossed or repeated.
	Dropped int
}

// finish draws the answer from the version that covers most, the newest of
// equals.
func (m *Machine) finish(reason core.Reason) {
	for i := range m.sends {
		if m.sends[i].open() {
			m.actions = append(m.actions, CancelSend{ID: m.id(i)})
		}
	}
	version := m.bestVersion()
	answer := Answer{
		Version:   version,
		Reason:    reason,
		Sends:     len(m.sends),
		Retries:   m.retries,
		Fallbacks: m.fallbacks,
		Switches:  m.switches,
		Replans:   m.replans,
		Dropped:   m.dropped,
	}
	m.merge(&answer, version, reason)
	if len(answer.Parts) == 0 {
		answer.Version = 0
	}
	answer.BelowLeast = answer.Coverage.Answered < m.options.leastOf(len(m.needs))
	m.actions = append(m.actions, Finish{Answer: answer})
}

func (m *Machine) merge(answer *Answer, version core.Version, reason core.Reason) {
	coverage := &answer.Coverage
	coverage.Asked = len(m.needs)
	answer.Parts = make([]Part, 0, len(m.needs))
	incomplete := m.incompleteServices(version)
	for index := range m.needs {
		written := &m.plan.Needs[index]
		payload, ok := m.needs[index].part(version)
		if !ok {
			coverage.Missing = append(coverage.Missing, Missing{Ref: written.Ref, Reason: m.missingReason(index, version, reason)})
			continue
		}
		part := Part{Ref: written.Ref, Payload: payload, Incomplete: incomplete[written.Service]}
		answer.Parts = append(answer.Parts, part)
		if part.Incomplete {
			coverage.Incomplete++
		}
	}
	coverage.Answered = len(answer.Parts)
}

// incompleteServices marks the services that lack a part of a dependency,
// direct or not. Dependencies come before dependents in the plan.
func (m *Machine) incompleteServices(version core.Version) []bool {
	incomplete := make([]bool, len(m.plan.Services))
	for i := range m.plan.Services {
		for _, dependency := range m.plan.Services[i].DependsOn {
			if incomplete[dependency] || m.partsAt(dependency, version) < len(m.plan.Services[dependency].Shards) {
				incomplete[i] = true
				break
			}
		}
	}
	return incomplete
}

func (m *Machine) partsAt(service int, version core.Version) int {
	count := 0
	for _, index := range m.plan.Services[service].Shards {
		if _, ok := m.needs[index].part(version); ok {
			count++
		}
	}
	return count
}

// at reports whether a try at the version failed. One that left the version
// open stands for each.
func (f failure) at(version core.Version) bool {
	return f.reason != core.ReasonNone && (f.version == version || f.version == 0)
}

// missingReason says why the shard has no part at the answer's version, given
// what ended the question.
func (m *Machine) missingReason(index int, version core.Version, ended core.Reason) core.Reason {
	need := &m.needs[index]
	switch {
	case need.failure.at(version) && (need.settled || need.open == 0):
		return need.failure.reason
	case need.lacks(version):
		return core.ReasonVersionGone
	case need.open == 0 && ended == core.ReasonDeadline && version == m.target && !m.ready(m.plan.Needs[index].Service):
		return core.ReasonDependency
	case ended != core.ReasonNone:
		return ended
	case need.open > 0:
		return core.ReasonStraggler
	default:
		return core.ReasonNotAsked
	}
}

// versionCount is how many shards have a version.
type versionCount struct {
	version core.Version
	parts   int
}

// count adds one to the version's count.
func count(counts []versionCount, version core.Version) []versionCount {
	for i := range counts {
		if counts[i].version == version {
			counts[i].parts++
			return counts
		}
	}
	return append(counts, versionCount{version: version, parts: 1})
}

// bestVersion is the one that covers most, the target while no part is there.
func (m *Machine) bestVersion() core.Version {
	var counts []versionCount
	for i := range m.needs {
		for _, part := range m.needs[i].parts {
			counts = count(counts, part.version)
		}
	}
	return most(counts, m.target)
}

// most is the version with the highest count, the newest of equals; it is the
// fallback when nothing was counted.
func most(counts []versionCount, fallback core.Version) core.Version {
	best := versionCount{version: fallback}
	for _, candidate := range counts {
		if candidate.parts > best.parts || candidate.parts == best.parts && candidate.version > best.version {
			best = candidate
		}
	}
	return best.version
}
