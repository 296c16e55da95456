package command

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
)

// settingsFile writes the settings of a node whose certificate was issued at the
// given time and is valid for one hour.
func settingsFile(t *testing.T, issued time.Time, callerAddress string) string {
	t.Helper()
	folder := t.TempDir()
	authority, err := keys.NewAuthority(issued, time.Hour)
	require.NoError(t, err)
	pair, err := authority.Issue("vm-1", issued, time.Hour)
	require.NoError(t, err)
	write := func(name string, text []byte) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, text, 0o600))
		return path
	}
	return write("node.yaml", fmt.Appendf(nil, "node: vm-1\ndata_centre: dc1\ncaller_address: %s\npeer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\nplatform: http://127.0.0.1:1\ntls: {authority: %s, certificate: %s, key: %s}\n",
		callerAddress, write("a.crt", authority.Certificate), write("n.crt", pair.Certificate), write("n.key", pair.Key)))
}

// An old process or another service still holds the port. The error must name the
// address and the fix.
func TestServeNamesAPortInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	address := taken.Addr().String()
	code, _, errors := run("serve", "--settings", settingsFile(t, time.Now(), address))
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errors, "cannot listen on "+address)
	require.Contains(t, errors, "choose a free address")
}

// A node that started with an expired certificate would refuse every peer and be
// refused by every peer, and answer callers from its own bundles only.
func TestServeRefusesAnExpiredCertificate(t *testing.T) {
	code, _, errors := run("serve", "--settings", settingsFile(t, time.Now().Add(-2*time.Hour), "127.0.0.1:0"))
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errors, "the certificate expired at")
	require.Contains(t, errors, "pistachiopier keys")
}

func TestServeNamesEveryBadSetting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte("node: vm-1\ncaller_address: everywhere\nlimits: {connections: -1}\n"), 0o600))
	code, _, errors := run("serve", "--settings", path)
	require.Equal(t, ExitFailure, code)
	for _, part := range []string{"caller_address", "limits.connections", "platform"} {
		require.Contains(t, errors, part)
	}
}
