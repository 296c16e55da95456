package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// Queries wait at an owner when its process stands still, and the index moves to
// 8 meanwhile. On waking the owner may no longer own the replica: it must refuse
// what waited as not run and send nothing before its beliefs are confirmed. Only
// what was sent before the pause ends with the former version, and says so.
func TestAWokenOwnerSendsNothingOfTheFormerVersion(t *testing.T) {
	const waiting = 6
	release := make(chan struct{})
	replica := startReplica(t, standin.Behaviour{Hold: release, Versions: []uint64{7}})
	b := startBench(t, replica.Address())
	for range 1 + waiting {
		b.ask("chef")
	}
	b.await("queries wait", func() bool {
		dump := b.owner.Dump()
		return len(dump) == 1 && dump[0].Waiting == waiting && replica.Received() == 1
	})
	b.belief.SetPaused(true)
	replica.Change(func(behaviour *standin.Behaviour) { behaviour.Versions = []uint64{8} })
	close(release)
	outcomes := map[core.Outcome]int{}
	for range 1 + waiting {
		part := b.part()
		outcomes[core.Outcome(part.GetOutcome())]++
		if part.GetOutcome() == uint32(core.Done) {
			require.EqualValues(t, 7, part.GetVersion())
		}
	}
	require.Equal(t, map[core.Outcome]int{core.Done: 1, core.NotRun: waiting}, outcomes)
	b.ask("late")
	require.Nil(t, b.part(), "refused on arrival, not as a part")
	require.Equal(t, 1, replica.Received())

	b.belief.SetPaused(false)
	var part *peerpb.Part
	b.await("it serves again", func() bool {
		b.ask("chef")
		part = b.part()
		return part.GetOutcome() == uint32(core.Done)
	})
	require.EqualValues(t, 8, part.GetVersion())
}
