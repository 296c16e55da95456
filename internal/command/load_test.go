package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
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
