package settings

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

const validSettings = `
node: vm-1
data_centre: dc1
caller_address: 10.0.0.1:7001
peer_address: 10.0.0.1:7002
operator_address: 10.0.0.1:7003
platform: http://10.0.0.9:7000
tls: {authority: a.pem, certificate: c.pem, key: k.pem}
entries_ttl: 3s
`

// FuzzSettings looks for settings that make Parse panic, or that are accepted
// without the required keys.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("node: [1]\ntls: x\nlimits: {max_body_bytes: -1}\n"))
	f.Add([]byte("nodee: vm-1\n? {a: b}\n: c\n"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
			require.NotEmpty(t, problems)
			return
		}
		require.NotEmpty(t, s.Node)
		require.NotEmpty(t, s.Platform)
		require.Positive(t, s.EntriesTTL)
	})
}

func TestValidSettingsAreAccepted(t *testing.T) {
	_, err := Parse([]byte(validSettings))
	require.NoError(t, err)
}
