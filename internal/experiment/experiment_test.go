package experiment

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

// Guards against favouring the variant that always runs first when the machine
// becomes busier during a comparison.
func TestOrderAlternates(t *testing.T) {
	require.Equal(t, [][]int{{0, 1, 2}, {2, 1, 0}, {0, 1, 2}}, Order(3, 3))
}

func TestNamedExperimentsAreBounded(t *testing.T) {
	names := map[string]bool{}
	for _, e := range All() {
		require.False(t, names[e.Name], e.Name)
		names[e.Name] = true
		require.Positive(t, e.Rounds)
		require.GreaterOrEqual(t, len(e.Variants), 2)
		for _, variant := range e.Variants {
			require.NoError(t, variant.Profile.Validate())
			require.LessOrEqual(t, variant.Profile.Duration*time.Duration(e.Rounds), time.Minute)
		}
		found, err := Find(e.Name)
		require.NoError(t, err)
		require.Equal(t, e.About, found.About)
	}
	_, err := Find("none")
	require.Error(t, err)
}

func TestComparisonCountsEveryVariant(t *testing.T) {
	small := func(v *Variant) {
		v.Nodes = 2
		v.Profile.Arrivals = load.ArrivalsFixed
		v.Profile.Rate = 50
		v.Profile.Duration = 200 * time.Millisecond
		v.Profile.Timeout = 10 * time.Second
	}
	e := Experiment{Name: "tiny", Shape: fleet.MainSearch(), Rounds: 2, Variants: variants(small, "naive", "owner", "direct")}
	result, err := Run(context.Background(), e, 1)
	require.NoError(t, err)
	report := result.Report()
	require.Len(t, report.Variants, 3)
	require.Len(t, report.Ratios, 2)
	for _, variant := range report.Variants {
		require.Equal(t, 20, variant.All.Requests, variant.Name)
		require.Zero(t, variant.All.Mixed+variant.All.Crossed, variant.Name)
		require.GreaterOrEqual(t, variant.ExtraLoad, -1e-9, variant.Name)
		require.Positive(t, variant.PeakConnections, variant.Name)
	}
	require.Equal(t, 1.0, report.Variants[1].All.MeanCoverage)
	var text bytes.Buffer
	report.WriteText(&text)
	require.Contains(t, text.String(), "owner / naive: p50")
}
