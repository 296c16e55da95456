package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edgefleet"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func TestLoadRejectsInvalidArguments(t *testing.T) {
	for _, arguments := range [][]string{
		{"load", "--service", "search"},
		{"load", "--embedded", "--rate", "0"},
		{"load", "--embedded", "--customers", "large=x"},
		{"load", "--compare", "owner"},
		{"load", "--compare", "owner", "sideways"},
		{"experiment", "none"},
	} {
		var out, errors bytes.Buffer
		require.Equal(t, ExitUsage, Run(arguments, &out, &errors), "%v", arguments)
		require.Contains(t, errors.String(), "bad_request", "%v", arguments)
	}
}

func TestCompareReportsBothVariants(t *testing.T) {
	var out, errors bytes.Buffer
	folder := t.TempDir()
	code := Run([]string{
		"load", "--compare", "owner", "naive", "--rounds", "1", "--nodes", "2",
		"--rate", "20", "--duration", "200ms", "--arrivals", "fixed", "--timeout", "10s", "--out", folder,
	}, &out, &errors)
	require.Equal(t, ExitOK, code, errors.String())
	require.Contains(t, out.String(), "naive / owner: p50")
	require.FileExists(t, folder+"/compare.json")
	require.FileExists(t, folder+"/compare.svg")
}

func TestExperimentsAreListed(t *testing.T) {
	var out, errors bytes.Buffer
	require.Equal(t, ExitOK, Run([]string{"experiment"}, &out, &errors))
	require.Contains(t, out.String(), "fairness")
	require.Contains(t, out.String(), "slopes")
}

func TestLoadAgainstARunningFleet(t *testing.T) {
	emulation, err := fleet.StartEmulation(fleet.MainSearchOf(3), 1)
	require.NoError(t, err)
	defer emulation.Close()
	running, err := fleet.Start(fleet.Options{Nodes: 2, LogOutput: io.Discard})
	require.NoError(t, err)
	defer running.Close()
	text := emulation.ConfigText(fleet.ConfigTextOptions{Routing: "owner", BundleSize: 1, InFlight: 100})
	require.NoError(t, running.AwaitReady(t.Context(), running.Platform.Publish(text)))
	var out, errors bytes.Buffer
	code := Run([]string{
		"load", "--address", running.Members()[0].Addresses.Caller, "--service", fleet.MainSearchService,
		"--rate", "50", "--duration", "200ms", "--arrivals", "fixed", "--timeout", "10s", "--json",
	}, &out, &errors)
	require.Equal(t, ExitOK, code, errors.String())
	var report load.Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Equal(t, 10, report.All.Requests)
	require.Equal(t, map[string]int{"done": 10}, report.All.Outcomes)
	require.Equal(t, 1.0, report.All.MeanCoverage)
}

// The forwarding tier has no query interface of its own: the load generator must first resolve
// the addresses and then send plain HTTP. One of the three shards has no replica, so coverage is 2/3.
func TestLoadDrivesTheForwardingTier(t *testing.T) {
	running, err := edgefleet.Start()
	require.NoError(t, err)
	defer func() { require.NoError(t, running.Close(context.Background())) }()
	config := platformtest.Config{Version: 1, Limits: platformtest.DefaultLimits(), Routes: []platformtest.Route{
		{Name: "all", Host: "search.example", Prefix: "/all/", Kind: platformtest.KindIdempotent, TimeoutMs: 2000, TargetLatencyMs: 200, MaxAttempts: 2, Gather: []string{"s1", "s2", "none"}, TopK: 2, MinCoverage: 0.5},
	}}
	for _, service := range []string{"s1", "s2"} {
		config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 20})
		_, err := running.AddReplica(service, "east", "a", "b")
		require.NoError(t, err)
	}
	running.Store.Publish(config)
	node, err := running.AddNode("east", io.Discard, nil)
	require.NoError(t, err)
	require.NoError(t, running.AwaitReady(t.Context()))
	var out, errors bytes.Buffer
	code := Run([]string{
		"load", "--directory", node.Settings.DirectoryAddress, "--data-centre", "east", "--service", "search.example/all/x=9,search.example/none=1",
		"--rate", "50", "--duration", "1s", "--arrivals", "fixed", "--json",
	}, &out, &errors)
	require.Equal(t, ExitOK, code, errors.String())
	var report load.Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Equal(t, 50, report.All.Requests)
	require.Greater(t, report.All.Outcomes["done"], 30)
	require.Equal(t, 50, report.All.Outcomes["done"]+report.All.Outcomes["not_run/unknown_path"], "%v", report.All.Outcomes)
	require.InDelta(t, 2.0/3, report.All.MeanCoverage, 0.01)
}

func TestThePlatformDemoShowsEachStep(t *testing.T) {
	if testing.Short() {
		t.Skip("a planned stop takes seconds")
	}
	var out, errors bytes.Buffer
	require.Equal(t, ExitOK, Run([]string{"demo", "--platform"}, &out, &errors), errors.String())
	require.Contains(t, out.String(), "1 x done with 6 of 6 parts")
	require.Contains(t, out.String(), "1 x done with 5 of 6 parts")
	require.Contains(t, out.String(), "the draining replica received 0 requests of the last query")
	require.Contains(t, out.String(), "100 x done with 6 of 6 parts", "a planned stop must not cut any request short")
}
