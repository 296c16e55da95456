package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// attempts are the attempts of one request at the nodes in turn, each of which ends the replica that runs it.
type attempts struct {
	nodes []*Ledger
	// delay is the number of attempts that begin before an update reaches the other nodes.
	delay int
	// unseen holds the attempts under which the end of the replica is not seen.
	unseen  map[int]bool
	updates []Record
}

const (
	attemptCount    = 12
	maxLateAttempts = 3
)

// run returns the number of attempts that were sent after enough replicas had ended.
func (a *attempts) run() (late int) {
	ended := 0
	for i := range attemptCount {
		if received := i - 1 - a.delay; received >= 0 && received < len(a.updates) {
			for _, node := range a.nodes {
				node.Merge(a.updates[received], 0)
			}
		}
		node := a.nodes[i%len(a.nodes)]
		var update Record
		standing := node.standingOf("deadly")
		if standing != SetAside {
			update = newFact("deadly", Incarnation(i), a.marks(i, standing))
			if ended >= minEnded {
				late++
			}
			ended++
			node.Merge(update, 0)
		}
		a.updates = append(a.updates, update)
	}
	return late
}

func (a *attempts) marks(attempt int, standing Standing) Fact {
	var marks Fact
	if standing == Suspect {
		marks |= Trial
	}
	if !a.unseen[attempt] {
		marks |= Ended
	}
	return marks
}

// Guards against a request that reaches replicas in more attempts than are allowed once it has ended three. Where updates
// arrive before the next attempt, the ends of two attempts may go unseen; where they arrive one attempt later, that of one.
func TestAttemptsAfterThreeEndsAreFew(t *testing.T) {
	lateAttempts := func(delay int, unseen ...int) int {
		a := &attempts{nodes: []*Ledger{NewLedger(), NewLedger(), NewLedger()}, delay: delay, unseen: map[int]bool{}}
		for _, attempt := range unseen {
			a.unseen[attempt] = true
		}
		return a.run()
	}
	for first := range attemptCount {
		require.LessOrEqual(t, lateAttempts(1, first), maxLateAttempts, "updates late by one, end of attempt %d unseen", first)
		for second := range attemptCount {
			require.LessOrEqual(t, lateAttempts(0, first, second), maxLateAttempts, "ends of attempts %d and %d unseen", first, second)
		}
	}
}
