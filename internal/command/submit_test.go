package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const submitTimeout = 20 * time.Second

// Both the output and the exit code must show the outcome: a refused request must
// not look like one that ran.
func TestSubmitPrintsTheOutcome(t *testing.T) {
	u, other := startStandin(t), startStandin(t)
	f, err := fleet.Start(fleet.Options{Nodes: 1, LogOutput: io.Discard})
	require.NoError(t, err)
	defer f.Close()
	shards := func(u *standin.Upstream) string {
		return fmt.Sprintf("    shards:\n      - replicas:\n          - {address: %q, data_centre: dc1}\n", u.Address())
	}
	text := "version: 1\nindexes: [ledger]\nservices:\n" +
		"  - name: invoices\n    index: ledger\n    idempotent: false\n" + shards(u) +
		"  - name: prices\n    index: ledger\n" + shards(other)
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	require.NoError(t, f.AwaitReady(ctx, f.Platform.Publish(text)))
	address := f.Members()[0].Addresses.Caller

	var out, faults bytes.Buffer
	require.Equal(t, ExitOK, Run([]string{"submit", "invoices", "--address", address, "--payload", `{"total":12}`}, &out, &faults), faults.String())
	require.Contains(t, out.String(), "DONE")
	require.Len(t, u.Submits(), 1)
	out.Reset()
	require.Equal(t, ExitFailure, Run([]string{"submit", "prices", "--address", address}, &out, &faults))
	require.Contains(t, out.String(), "NOT RUN")
	require.Contains(t, out.String(), "wrong_method_for_service")
	require.Len(t, u.Submits(), 1)
}

func startStandin(t *testing.T) *standin.Upstream {
	t.Helper()
	u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{1}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	return u
}
