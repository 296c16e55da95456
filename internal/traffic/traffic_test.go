package traffic

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// An operator asks which duty makes the bytes between data centres.
func TestBytesAreToldByPurposeAndDataCentre(t *testing.T) {
	registry := observe.NewRegistry()
	account := New(registry)
	account.Add(Flow{Heartbeats, "a"}, 100)
	account.Add(Flow{Heartbeats, "b"}, 20)
	account.Add(Flow{Heartbeats, "c"}, 3)
	account.Counter(Flow{Replicas, "b"}).Inc(7)
	require.Equal(t, map[Purpose]int64{Heartbeats: 23, Replicas: 7}, account.RemoteBytes("a"))
	var text bytes.Buffer
	observe.WriteText(&text, registry)
	require.Contains(t, text.String(), `pistachiopier_bytes_total{purpose="heartbeats",data_centre="b"} 20`)
}
