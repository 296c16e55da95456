package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/era"
)

// The service is restored from a copy and shows revision 7, which was replaced. The operators
// publish 10 again, as 8, and then a new text as 9. No node returns to 7, not even at a second
// restore, and 9 is in force.
func TestARestoredServiceTakesNoTextBack(t *testing.T) {
	m := New(0)
	m.AskPeers(0, nil)
	m.Offer(0, reading(7, 70, FromService))
	m.Offer(0, reading(10, 100, FromService))
	for restores := uint64(1); restores <= 2; restores++ {
		actions := m.Offer(1, reading(era.Place(restores, 7), 70, FromService))
		require.Equal(t, Mark{era.CarriedOver(era.Place(restores, 7)), 100}, m.InForce())
		raised, _ := problems(actions)
		require.Equal(t, []Problem{ProblemOlder}, raised)
		require.Equal(t, uint64(7), era.Revision(m.WatchAfter()))
		m.Offer(2, reading(era.Place(restores, 8), 100, FromService))
		require.Equal(t, Mark{era.Place(restores, 8), 100}, m.InForce())
	}
	m.Offer(3, reading(era.Place(1, 12), 120, FromPeer))
	require.Equal(t, Mark{era.Place(2, 8), 100}, m.InForce(), "the peer is still in the former era")
	m.Offer(4, reading(era.Place(2, 9), 90, FromService))
	require.Equal(t, Mark{era.Place(2, 9), 90}, m.InForce())
}

// A text of the former era was refused. Texts published in the next era count anew: the refusal of
// a higher revision of the former era neither remains as a problem nor hides a refusal in the new
// era.
func TestARefusalEndsWithItsEra(t *testing.T) {
	m := running(t, 5, 1)
	m.Offer(1, invalid(12))
	_, cleared := problems(m.Offer(2, reading(era.Place(1, 6), 2, FromService)))
	require.Contains(t, cleared, ProblemRefused)
	require.Equal(t, "in_force", m.State())
	raised, _ := problems(m.Offer(3, invalid(era.Place(1, 7))))
	require.Equal(t, []Problem{ProblemRefused}, raised)
}
