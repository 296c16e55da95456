package confwatch_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const fleetNodes = 16

func fleetText(n int) string {
	return fmt.Sprintf("version: 1\nindexes: [i]\nservices:\n  - name: s%d\n    index: i\n    shards: [{replicas: [{address: \"10.0.0.1:1\"}]}]\n", n)
}

// Nodes with real connections in three data centres adopt a series of changes: some
// are relays, and the others poll them.
func TestFleetFollowsChanges(t *testing.T) {
	running, err := fleet.Start(fleet.Options{Nodes: fleetNodes, LogOutput: io.Discard})
	require.NoError(t, err)
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for n := range 5 {
		require.NoError(t, running.AwaitReady(ctx, running.Platform.Publish(fleetText(n))))
	}
}

// The service is restored from a copy while the nodes run, so that it reuses revisions. Over real connections each text
// that is published afterwards is in force at every node, even under a revision that stood for another text.
func TestFleetFollowsItsServiceIntoTheNextEra(t *testing.T) {
	running, err := fleet.Start(fleet.Options{Nodes: fleetNodes, LogOutput: io.Discard})
	require.NoError(t, err)
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for serviceEra := range uint64(3) {
		running.Platform.Change(func(b *standin.PlatformBehaviour) { b.Era = serviceEra })
		running.Platform.SetConfig(confservice.Config{Revision: 1, Text: fleetText(0)})
		for n := range 3 {
			revision := running.Platform.Publish(fleetText(100*int(serviceEra) + n + 1))
			require.NoError(t, running.AwaitReady(ctx, era.Place(serviceEra, revision)))
		}
	}
}

// BenchmarkPublishToInForce measures the time from the publication of a change until
// it is in force at all nodes, over loopback.
func BenchmarkPublishToInForce(b *testing.B) {
	running, err := fleet.Start(fleet.Options{Nodes: fleetNodes, LogOutput: io.Discard})
	require.NoError(b, err)
	defer running.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	require.NoError(b, running.AwaitReady(ctx, running.Platform.Publish(fleetText(0))))
	slowest := time.Duration(0)
	for n := 1; b.Loop(); n++ {
		published := time.Now()
		require.NoError(b, running.AwaitReady(ctx, running.Platform.Publish(fleetText(n))))
		slowest = max(slowest, time.Since(published))
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
}
