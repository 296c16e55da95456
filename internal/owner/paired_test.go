package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// The process of an owner is paused while requests are queued, and the index moves to
// version 8 in the meantime. After the pause another node may own the replica: the
// owner must refuse the queued requests as not run and send nothing until its state is
// confirmed. Only the request sent before the pause is answered, with version 7.
func TestAWokenOwnerSendsNothingOfTheFormerVersion(t *testing.T) {
	const waiting = 6
	release := make(chan struct{})
	replica := startReplica(t, standin.Behaviour{Hold: release, Versions: []uint64{7}})
	b := startFixture(t, replica.Address())
	for range 1 + waiting {
		b.ask("chef")
	}
	b.await("all but one of the requests are queued", func() bool {
		dump := b.owner.Dump()
		return len(dump) == 1 && dump[0].Waiting == waiting && replica.Received() == 1
	})
	b.belief.SetPaused(true)
	replica.Change(func(behaviour *standin.Behaviour) { behaviour.Versions = []uint64{8} })
	close(release)
	outcomes := map[core.Outcome]int{}
	for range 1 + waiting {
		part := b.nextPart()
		outcomes[core.Outcome(part.GetOutcome())]++
		if part.GetOutcome() == uint32(core.Done) {
			require.EqualValues(t, 7, part.GetVersion())
		}
	}
	require.Equal(t, map[core.Outcome]int{core.Done: 1, core.NotRun: waiting}, outcomes)
	b.ask("late")
	require.Nil(t, b.nextPart(), "the whole message is refused, so there is no part")
	require.Equal(t, 1, replica.Received())

	b.belief.SetPaused(false)
	var part *peerpb.Part
	b.await("the owner serves again", func() bool {
		b.ask("chef")
		part = b.nextPart()
		return part.GetOutcome() == uint32(core.Done)
	})
	require.EqualValues(t, 8, part.GetVersion())
}
