package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const awaitTimeout = 20 * time.Second

const fleetText = `
version: 1
indexes: [cues]
services:
  - {name: mood, index: cues, shards: [{replicas: [{address: "ADDRESS", data_centre: dc1}]}]}
`

func startFleet(t *testing.T) (*fleet.Fleet, *standin.Upstream) {
	t.Helper()
	u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Slots: 2, Versions: []uint64{7}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	f, err := fleet.Start(fleet.Options{Nodes: 2, LogOutput: io.Discard, EditSettings: func(s *settings.Settings) { s.Probing.ReportWithin = 600 * time.Millisecond }})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	require.NoError(t, f.AwaitReady(ctx, f.Platform.Publish(strings.Replace(fleetText, "ADDRESS", u.Address(), 1))))
	return f, u
}

// Monitoring scripts run these commands every minute and act on their exit codes
// alone.
func TestStatusProblemsAndDumpOfAFleet(t *testing.T) {
	f, u := startFleet(t)
	address := f.Members()[0].Addresses.Operator
	code, out, errors := run("status", "--address", address, "--fleet")
	require.Equal(t, ExitOK, code, out+errors)
	require.Equal(t, 2, strings.Count(out, "ready"))
	code, out, _ = run("problems", "--address", address)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "no problems on 2 nodes")
	code, out, _ = run("dump", "--address", address)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "entry_rings")

	u.Change(func(b *standin.Behaviour) { b.Silent = true })
	for _, member := range f.Members() {
		require.Eventually(t, func() bool {
			code, out, _ := run("problems", "--address", member.Addresses.Operator)
			return code == ExitFailure && strings.Contains(out, "stalled_service")
		}, awaitTimeout, 20*time.Millisecond)
	}
	code, out, _ = run("status", "--address", address, "--fleet", "--json")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, string(api.HealthDegraded))

	require.NoError(t, f.Stop(f.Members()[1]))
	code, out, _ = run("problems", "--address", address)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "no answer from node vm-2")
	code, out, _ = run("status", "--address", address, "--fleet")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "no answer")
}

// The first address of the list belongs to a VM that is gone, the second to a live
// one. The caller must get its answer from the second.
func TestQueryFailsOverToTheNextEntry(t *testing.T) {
	f, _ := startFleet(t)
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, stopped.Close())
	caller := client.New()
	defer caller.Close()
	entries := []api.EntryAddress{{Address: stopped.Addr().String()}, {Address: f.Members()[0].Addresses.Caller}}
	options := queryOptions{callerOptions: callerOptions{service: "mood", customer: "agency", timeout: awaitTimeout}, question: "null"}
	reply, err := queryEntries(context.Background(), caller, entries, options)
	require.NoError(t, err)
	require.False(t, reply.Coverage.Thin)

	options.service = "nothing"
	_, err = queryEntries(context.Background(), caller, entries, options)
	require.ErrorContains(t, err, "unknown_service")
	code, out, errors := run("query", "mood", "--address", f.Members()[0].Addresses.Caller, "--json")
	require.Equal(t, ExitOK, code, errors)
	require.Contains(t, out, `"outcome":"done"`)
}

// A node that has just started knows no other node yet. An empty table with exit
// code 0 would look like a healthy fleet.
func TestStatusOfAStartingNodeExitsWithFailure(t *testing.T) {
	operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/nodes" {
			_, _ = io.WriteString(w, "[]")
			return
		}
		_, _ = io.WriteString(w, `{"node":"vm-1","health":{"state":"starting","why":"no configuration is in force yet"}}`)
	}))
	defer operator.Close()
	code, out, errors := run("status", "--address", operator.Listener.Addr().String(), "--fleet")
	require.Equal(t, ExitFailure, code, errors)
	require.Contains(t, out, "starting")
}

// The VM of the first entry hangs: its kernel accepts the connection, but nothing
// answers. The other entry must be queried before the deadline of the caller.
func TestQueryDoesNotWaitForASilentEntry(t *testing.T) {
	f, _ := startFleet(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	caller := client.New()
	defer caller.Close()
	options := queryOptions{callerOptions: callerOptions{service: "mood", customer: "operator", timeout: defaultCallerTimeout}, question: "null"}
	entries := []api.EntryAddress{{Address: silent.Addr().String()}, {Address: f.Members()[0].Addresses.Caller}}
	reply, err := queryEntries(context.Background(), caller, entries, options)
	require.NoError(t, err)
	require.False(t, reply.Coverage.Thin)
}

// A VM is replaced and its address is reused at once by a node of another fleet. The
// lost node must be shown as lost, not with the state of the other node.
func TestStatusRejectsAnswersFromAnotherNode(t *testing.T) {
	operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"node":"vm-11","health":{"state":"ready"}}`)
	}))
	defer operator.Close()
	nodes := []api.NodeAddress{{Node: "vm-2", OperatorAddress: operator.Listener.Addr().String()}}
	list := fetchStatuses(context.Background(), client.New(), nodes)
	require.Nil(t, list[0].Status)
	require.Equal(t, core.NodeID("vm-2"), list[0].Node)
	require.Contains(t, list[0].Why, "vm-11")
}
