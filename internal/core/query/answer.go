package query

import "github.com/pistachiopier/pistachiopier/internal/core"

// Part is the payload of one merged shard.
type Part struct {
	Ref     core.ShardRef
	Payload []byte
	// Incomplete is set if the part was computed without a part of some dependency.
	Incomplete bool
}

// Missing is a shard without a part, and the reason.
type Missing struct {
	Ref    core.ShardRef
	Reason core.Reason
}

// Coverage counts the requested and the answered shards. It is computed from the merged parts,
// never from expectations.
type Coverage struct {
	Asked    int
	Answered int
	// Incomplete counts the answered shards with a missing part among their direct or transitive
	// dependencies.
	Incomplete int
	Missing    []Missing
}

// Share returns the answered share, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// Answer is the result of a query. All parts have the same version, and each was computed from
// exactly those dependencies' parts that the answer contains.
type Answer struct {
	// Version is 0 if there is no part.
	Version  core.Version
	Parts    []Part
	Coverage Coverage
	// BelowLeast is set if the coverage is below the caller's least coverage.
	BelowLeast bool
	// Reason is what ended the query before all shards were settled, or empty.
	Reason core.Reason
	// Sends counts requests to owners. Retries and Fallbacks count shards that were asked again
	// after a failure or, in parallel, because of a silent owner.
	Sends     int
	Retries   int
	Fallbacks int
	// Switches counts changes of version, Replans changes of configuration.
	Switches int
	Replans  int
	// Dropped counts unused replies: late, crossed or repeated ones.
	Dropped int
}

// finish builds the answer from the version that covers most shards, the newest in case of a tie.
func (m *Machine) finish(reason core.Reason) {
	for i := range m.sends {
		if m.sends[i].open() {
			m.actions = append(m.actions, CancelSend{ID: m.sendID(i)})
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
	answer.BelowLeast = answer.Coverage.Answered < m.options.minParts(len(m.needs))
	m.actions = append(m.actions, Finish{Answer: answer})
}

func (m *Machine) merge(answer *Answer, version core.Version, reason core.Reason) {
	coverage := &answer.Coverage
	coverage.Asked = len(m.needs)
	answer.Parts = make([]Part, 0, len(m.needs))
	incomplete := m.incompleteServices(version)
	for index := range m.needs {
		need := &m.plan.Needs[index]
		payload, ok := m.needs[index].partAt(version)
		if !ok {
			coverage.Missing = append(coverage.Missing, Missing{Ref: need.Ref, Reason: m.missingReason(index, version, reason)})
			continue
		}
		part := Part{Ref: need.Ref, Payload: payload, Incomplete: incomplete[need.Service]}
		answer.Parts = append(answer.Parts, part)
		if part.Incomplete {
			coverage.Incomplete++
		}
	}
	coverage.Answered = len(answer.Parts)
}

// incompleteServices marks the services that lack a part of a direct or transitive dependency.
// Dependencies precede their dependents in the plan.
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
		if _, ok := m.needs[index].partAt(version); ok {
			count++
		}
	}
	return count
}

// appliesTo reports whether the failure is of an attempt at the version. An attempt without a
// version counts for every version.
func (f failure) appliesTo(version core.Version) bool {
	return f.reason != core.ReasonNone && (f.version == version || f.version == 0)
}

// missingReason returns why the shard has no part at the answer's version. ended is the reason that
// ended the query.
func (m *Machine) missingReason(index int, version core.Version, ended core.Reason) core.Reason {
	need := &m.needs[index]
	switch {
	case need.failure.appliesTo(version) && (need.settled || need.openSends == 0):
		return need.failure.reason
	case need.lacks(version):
		return core.ReasonVersionGone
	case need.openSends == 0 && ended == core.ReasonDeadline && version == m.target && !m.ready(m.plan.Needs[index].Service):
		return core.ReasonDependency
	case ended != core.ReasonNone:
		return ended
	case need.openSends > 0:
		return core.ReasonStraggler
	default:
		return core.ReasonNotAsked
	}
}

// versionCount is the number of shards that have a version.
type versionCount struct {
	version core.Version
	parts   int
}

// addVersion increments the version's count.
func addVersion(counts []versionCount, version core.Version) []versionCount {
	for i := range counts {
		if counts[i].version == version {
			counts[i].parts++
			return counts
		}
	}
	return append(counts, versionCount{version: version, parts: 1})
}

// bestVersion returns the version that covers most shards, or the target if there is no part.
func (m *Machine) bestVersion() core.Version {
	var counts []versionCount
	for i := range m.needs {
		for _, part := range m.needs[i].parts {
			counts = addVersion(counts, part.version)
		}
	}
	return mostCommon(counts, m.target)
}

// mostCommon returns the version with the highest count, the newest in case of a tie, or fallback
// if there are no counts.
func mostCommon(counts []versionCount, fallback core.Version) core.Version {
	best := versionCount{version: fallback}
	for _, candidate := range counts {
		if candidate.parts > best.parts || candidate.parts == best.parts && candidate.version > best.version {
			best = candidate
		}
	}
	return best.version
}
