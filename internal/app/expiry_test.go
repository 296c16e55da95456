package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// A node's certificate nears its end while the process runs for weeks. The
// problem must show before the end, and go once a longer one is in use.
func TestACertificateNearItsEndIsAProblem(t *testing.T) {
	issued := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	authority, err := keys.NewAuthority(issued, 100*day)
	require.NoError(t, err)
	pair, err := authority.Issue("vm-1", issued, 20*day)
	require.NoError(t, err)
	problems := observe.NewProblems(func() core.Time { return 0 })
	registry := observe.NewRegistry()
	daysLeft := observe.Gauge(registry, "certificate_days_left")
	certificates := [][]byte{authority.Certificate, pair.Certificate}
	checkExpiry(problems, daysLeft, certificates, issued.Add(5*day), 14*day)
	require.Empty(t, problems.List())
	checkExpiry(problems, daysLeft, certificates, issued.Add(7*day), 14*day)
	require.Len(t, problems.List(), 1)
	require.Equal(t, "node", problems.List()[0].Subject)
	require.EqualValues(t, 13, daysLeft.Value())
	longer, err := authority.Issue("vm-1", issued, 90*day)
	require.NoError(t, err)
	checkExpiry(problems, daysLeft, [][]byte{authority.Certificate, longer.Certificate}, issued.Add(7*day), 14*day)
	require.Empty(t, problems.List())
}
