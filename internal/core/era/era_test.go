package era

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Places order by era, then by revision; a carried-over place lies between its own place and the
// next.
func TestPlacesRiseWithErasAndRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Uint64Range(1, Max-1).Draw(t, "era"), rapid.Uint64Range(0, MaxRevision-1).Draw(t, "revision")
		place := Place(era, revision)
		require.Equal(t, era, Of(place))
		require.Equal(t, revision, Revision(place))
		require.Equal(t, revision, Revision(CarriedOver(place)))
		require.Greater(t, CarriedOver(place), place)
		require.Greater(t, Place(era, revision+1), CarriedOver(place))
		require.Greater(t, Place(era+1, 0), CarriedOver(Place(era, MaxRevision)))
		require.Greater(t, place, Place(0, revision))
	})
	require.Equal(t, "7 of era 2", String(Place(2, 7)))
	require.Equal(t, "7", String(7))
}
