package observe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A service gives one thin answer and then has no traffic, so no whole answer can
// clear the problem. The problem must expire, but not while it is renewed.
func TestProblemsWithTTLExpireUnlessRenewed(t *testing.T) {
	var now core.Time
	problems := NewProblems(func() core.Time { return now })
	problems.ReportWithTTL(KindThinService, "prices", "thin", time.Minute)
	problems.Report(KindPaused, "vm-1", "stays until it is cleared")
	now = time.Minute - 1
	require.Len(t, problems.List(), 2)
	problems.ReportWithTTL(KindThinService, "prices", "thin", time.Minute)
	now += time.Minute - 1
	require.Equal(t, 2, problems.List()[1].Count)
	now++
	require.Len(t, problems.List(), 1)
	require.Equal(t, KindPaused, problems.List()[0].Kind)
	problems.ReportWithTTL(KindThinService, "prices", "thin", time.Minute)
	require.Equal(t, now, problems.List()[1].First, "a problem that is reported again after it expired must count as new")
}
