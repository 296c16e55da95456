package observe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A service is asked once, thinly, and then not again all night: no answer can
// show that it is whole. The problem must not stand for ever, nor end while it
// is renewed.
func TestAProblemThatOnlyTrafficShowsLapses(t *testing.T) {
	var now core.Time
	problems := NewProblems(func() core.Time { return now })
	problems.ReportFor(KindThinService, "prices", "thin", time.Minute)
	problems.Report(KindPaused, "vm-1", "stands until it is cleared")
	now = time.Minute - 1
	require.Len(t, problems.List(), 2)
	problems.ReportFor(KindThinService, "prices", "thin", time.Minute)
	now += time.Minute - 1
	require.Equal(t, 2, problems.List()[1].Count)
	now++
	require.Len(t, problems.List(), 1)
	require.Equal(t, KindPaused, problems.List()[0].Kind)
	problems.ReportFor(KindThinService, "prices", "thin", time.Minute)
	require.Equal(t, now, problems.List()[1].First, "a problem that lapsed and came back is a new one")
}
