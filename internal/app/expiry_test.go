package app

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// A node's certificate nears its expiry while the process runs for weeks. The
// problem must be reported before the expiry and cleared once a certificate with a
// later expiry is in use.
func TestACertificateNearItsExpiryIsAProblem(t *testing.T) {
	issued := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	authority, err := keys.NewAuthority(issued, 100*day)
	require.NoError(t, err)
	pair, err := authority.Issue("vm-1", issued, 20*day)
	require.NoError(t, err)
	problems := observe.NewProblems(func() core.Time { return 0 })
	registry := observe.NewRegistry()
	daysLeft := observe.Gauge(registry, "certificate_days_left")
	certificates, err := readExpiries(authority.Certificate, pair.Certificate, issued)
	require.NoError(t, err)
	checkExpiry(problems, daysLeft, certificates, issued.Add(5*day), 14*day)
	require.Empty(t, problems.List())
	checkExpiry(problems, daysLeft, certificates, issued.Add(7*day), 14*day)
	require.Len(t, problems.List(), 1)
	require.Equal(t, "node", problems.List()[0].Subject)
	require.EqualValues(t, 13, daysLeft.Value())
	renewed, err := authority.Issue("vm-1", issued, 90*day)
	require.NoError(t, err)
	certificates, err = readExpiries(authority.Certificate, renewed.Certificate, issued)
	require.NoError(t, err)
	checkExpiry(problems, daysLeft, certificates, issued.Add(7*day), 14*day)
	require.Empty(t, problems.List())
}

// The authority's certificate is replaced. For a while the file holds the old one,
// which has expired, and the new one; nodes with certificates of the new authority
// must start.
func TestAnAuthorityCanBeReplaced(t *testing.T) {
	issued := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	former, err := keys.NewAuthority(issued, 10*day)
	require.NoError(t, err)
	present, err := keys.NewAuthority(issued, 100*day)
	require.NoError(t, err)
	pair, err := present.Issue("vm-1", issued, 50*day)
	require.NoError(t, err)
	both := append(append([]byte(nil), former.Certificate...), present.Certificate...)
	certificates, err := readExpiries(both, pair.Certificate, issued.Add(20*day))
	require.NoError(t, err)
	require.Equal(t, issued.Add(100*day), certificates[0].notAfter)
	_, err = readExpiries(former.Certificate, pair.Certificate, issued.Add(20*day))
	require.ErrorContains(t, err, "expired")
	_, err = readExpiries([]byte("nothing"), pair.Certificate, issued)
	require.ErrorContains(t, err, "holds no certificate")
}
