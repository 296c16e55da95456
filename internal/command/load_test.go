package command

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

func TestLoadRefusesWhatIsUnbounded(t *testing.T) {
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

func TestCompareReportsBothSettings(t *testing.T) {
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
	running, err := fleet.Start(fleet.Options{Nodes: 2, LogTo: io.Discard})
	require.NoError(t, err)
	defer running.Close()
	text := emulation.Text(fleet.TextOptions{Routing: "owner", BundleSize: 1, InFlight: 100})
	require.NoError(t, running.AwaitReady(t.Context(), running.Platform.Publish(text)))
	var out, errors bytes.Buffer
	code := Run([]string{
		"load", "--address", running.Members()[0].Addresses.Caller, "--service", fleet.MainLead,
		"--rate", "50", "--duration", "200ms", "--arrivals", "fixed", "--timeout", "10s", "--json",
	}, &out, &errors)
	require.Equal(t, ExitOK, code, errors.String())
	var report load.Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Equal(t, 10, report.All.Requests)
	require.Equal(t, map[string]int{"done": 10}, report.All.Outcomes)
	require.Equal(t, 1.0, report.All.MeanCoverage)
}
