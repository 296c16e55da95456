package traffic

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// Operators need to see which duty causes the traffic between data centres.
func TestBytesAreCountedByPurposeAndDataCentre(t *testing.T) {
	registry := observe.NewRegistry()
	counters := New(registry)
	counters.Add(Flow{Heartbeats, "a"}, 100)
	counters.Add(Flow{Heartbeats, "b"}, 20)
	counters.Add(Flow{Heartbeats, "c"}, 3)
	counters.Counter(Flow{Replicas, "b"}).Inc(7)
	require.Equal(t, map[Purpose]int64{Heartbeats: 23, Replicas: 7}, counters.RemoteBytes("a"))
	var text bytes.Buffer
	observe.WriteText(&text, registry)
	require.Contains(t, text.String(), `pistachiopier_bytes_total{purpose="heartbeats",data_centre="b"} 20`)
}
