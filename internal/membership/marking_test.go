package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
)

// A VM stays in the list as leaving for an hour. Unless it is marked again, its
// drain mark expires after minutes, and a leaving upstream receives new work.
func TestAnUnchangedListMarksAgainWithinAMarksLife(t *testing.T) {
	first := drainMarks{list: &confservice.VMList{}, config: &belief.Config{}}
	require.False(t, first.mustRenew(first))
	later := first
	later.at = markInterval
	require.True(t, first.mustRenew(later))
	require.True(t, first.mustRenew(drainMarks{list: first.list, config: &belief.Config{}}), "another configuration")
	require.True(t, first.mustRenew(drainMarks{list: &confservice.VMList{}, config: first.config}), "another list")
	var config member.Config
	config.Fill()
	require.Less(t, 2*markInterval, config.DrainTTL, "a mark is renewed before it expires, even when one renewal is discarded as a repetition")
}
