package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConnectionsFitMemoryAndDescriptors(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		vmBytes     int64
		descriptors int
		want        Connections
	}{
		{136 * mb, 2870, Connections{Callers: 870, Directory: 217, Checks: 32, Replicas: 1353}},
		{284 * mb, 4100, Connections{Callers: 1817, Directory: 454, Checks: 32, Replicas: 1322}},
		{536 * mb, 4100, Connections{Callers: 1950, Directory: 487, Checks: 32, Replicas: 1156}},
		{136 * mb, 400, Connections{Callers: 100, Directory: 25, Checks: 6, Replicas: 51}},
		{0, 4100, Connections{Callers: 1950, Directory: 487, Checks: 32, Replicas: 1156}},
		{136 * mb, 100, Connections{Callers: 1, Directory: 1, Checks: 1, Replicas: 1}},
	} {
		require.Equal(t, c.want, ConnectionLimits(c.vmBytes, c.descriptors))
	}
}
