package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const awaitTimeout = 20 * time.Second

// testConfig describes the service top and the services base-02..n that it
// depends on, each of one shard with two of the given replicas.
func testConfig(upstreams []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [prices]\nservices:\n")
	for i := 0; i+1 < len(upstreams); i += 2 {
		name := fmt.Sprintf("base-%02d", i/2+1)
		if i == 0 {
			name = "top"
		}
		fmt.Fprintf(&b, "  - name: %s\n    index: prices\n    timeout: 5s\n", name)
		if i == 0 && len(upstreams) > 2 {
			var names []string
			for j := 2; j+1 < len(upstreams); j += 2 {
				names = append(names, fmt.Sprintf("base-%02d", j/2+1))
			}
			fmt.Fprintf(&b, "    depends_on: [%s]\n", strings.Join(names, ", "))
		}
		fmt.Fprintf(&b, "    shards:\n      - replicas:\n          - {address: %q, data_centre: dc1}\n          - {address: %q, data_centre: dc2}\n",
			upstreams[i].Address(), upstreams[i+1].Address())
	}
	return b.String()
}

func startUpstreams(t *testing.T, count int) []*standin.Upstream {
	t.Helper()
	var list []*standin.Upstream
	for range count {
		u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Slots: 2, Versions: []uint64{7}})
		require.NoError(t, err)
		t.Cleanup(func() { _ = u.Close() })
		list = append(list, u)
	}
	return list
}

func startFleet(t *testing.T, nodes int, text string) *Fleet {
	t.Helper()
	f, err := Start(Options{Nodes: nodes, LogOutput: io.Discard})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	require.NoError(t, f.AwaitReady(ctx, f.Platform.Publish(text)))
	return f
}

func TestWholePath(t *testing.T) {
	upstreams := startUpstreams(t, 8)
	f := startFleet(t, 2, testConfig(upstreams))
	caller := client.New()
	defer caller.Close()
	entries, err := caller.Entries(context.Background(), f.Members()[0].Addresses.Caller)
	require.NoError(t, err)
	require.Len(t, entries.Entries, 2)
	for _, entry := range entries.Entries {
		reply, err := caller.Query(context.Background(), entry.Address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(`"pork"`)})
		require.NoError(t, err)
		require.Equal(t, core.Version(7), reply.Version)
		require.Equal(t, 4, reply.Coverage.Answered, "missing: %v", reply.Coverage.Missing)
		require.False(t, reply.Coverage.Thin)
	}
}

func TestThinAnswerNamesWhatIsMissing(t *testing.T) {
	upstreams := startUpstreams(t, 8)
	f := startFleet(t, 2, testConfig(upstreams))
	for _, u := range upstreams[6:] {
		u.Change(func(b *standin.Behaviour) { b.Draining = true })
	}
	caller := client.New()
	defer caller.Close()
	reply, err := caller.Query(context.Background(), f.Members()[0].Addresses.Caller, "top", api.QueryRequest{Customer: "chef"})
	require.NoError(t, err)
	require.True(t, reply.Coverage.Thin)
	require.Equal(t, 3, reply.Coverage.Answered)
	require.Equal(t, "base-04", reply.Coverage.Missing[0].Service)
}
