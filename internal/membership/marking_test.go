package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
)

// A VM stays in the list as leaving for an hour. Its mark ends after minutes
// unless it is seen again, and new work would go to an upstream on its way out.
func TestAnUnchangedListMarksAgainWithinAMarksLife(t *testing.T) {
	first := marking{list: &confservice.VMList{}, config: &belief.Config{}}
	require.False(t, first.due(first))
	later := first
	later.at = markAgain
	require.True(t, first.due(later))
	require.True(t, first.due(marking{list: first.list, config: &belief.Config{}}), "another text")
	require.True(t, first.due(marking{list: &confservice.VMList{}, config: first.config}), "another list")
	var config member.Config
	config.Fill()
	require.Less(t, 2*markAgain, config.DrainTTL, "a mark is renewed before it ends, also when one sighting is taken for a repetition")
}
