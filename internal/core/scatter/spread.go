package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const (
	// shortTargetDivisor is the fraction, 1/n, of the target from which the expected answer of a shard's best replica counts
	// as short: a queue of one more request then makes it late.
	shortTargetDivisor = 2
	// spareShortShards is how many short shards more than needed a request is sent to, for those that answer late.
	spareShortShards = 1
	// minReliefFactor is the least factor by which the load of the short shards must fall. Where it falls by less, their
	// queues stay, and the answer lacks the shards that might still have been in time.
	minReliefFactor = 2
	// maxLeftOutShare bounds the shards that are left out, as a share of all: an answer that lacks more is worth less than one
	// that is sometimes late.
	maxLeftOutShare = 0.05
)

// spreadOverShort leaves out short shards that the answer does not need, so that requests share their room.
//
// It guards against this load: a few shards more than an answer may lack have only slow replicas left, and each of these
// bears a part of the load. Sent to all of them, every request lengthens every queue until all are late and the request is
// too, although an answer needs only one of them. Sent to as many as it needs and one more, in turn, requests find short
// queues. A shard that was left out is asked once the answer needs it. While an answer may lack all short shards, nothing is
// left out.
func (m *Machine) spreadOverShort(choices []*replica.Choice) {
	short := m.shortShards(choices)
	needed := m.plan.MinParts - (countChoices(choices) - len(short))
	kept := needed + spareShortShards
	if needed <= 0 || len(short) < minReliefFactor*kept || float64(len(short)-kept) > maxLeftOutShare*float64(len(choices)) {
		return
	}
	m.leftOut = short[kept:]
	for _, i := range m.leftOut {
		m.withhold(i, First, OtherShardsSuffice)
		m.services[i].failed = true
		choices[i] = nil
	}
}

// sendLeftOut sends to shards that were left out once too few others can still answer.
func (m *Machine) sendLeftOut() {
	for len(m.leftOut) > 0 && m.result.Received+m.openServices() < m.plan.MinParts {
		i := m.leftOut[0]
		m.leftOut = m.leftOut[1:]
		m.services[i].failed = false
		m.services[i].failed = !m.sendAnother(i, First)
	}
}

// shortShards lists the shards whose best replica is expected to answer late in the target or not at all, the soonest first.
// The order of equals differs from request to request.
func (m *Machine) shortShards(choices []*replica.Choice) []int {
	target := m.plan.Admission.TargetAt - m.now
	if m.plan.Spread == 0 || m.plan.Admission.TargetAt == 0 || len(choices) == 1 {
		return nil
	}
	var short []int
	for i, choice := range choices {
		if choice != nil && isShort(*choice, target) {
			short = append(short, i)
		}
	}
	if len(short) == 0 {
		return nil
	}
	first := int(m.plan.Spread % uint64(len(short)))
	short = slices.Concat(short[first:], short[:first])
	slices.SortStableFunc(short, func(a, b int) int { return cmp.Compare(expectedWait(*choices[a]), expectedWait(*choices[b])) })
	return short
}

func isShort(choice replica.Choice, target time.Duration) bool {
	return choice.Unreachable || choice.ExpectedLatency > target/shortTargetDivisor
}

func countChoices(choices []*replica.Choice) (count int) {
	for _, choice := range choices {
		if choice != nil {
			count++
		}
	}
	return count
}
