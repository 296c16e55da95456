package night

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Guards against probes to an upstream that any node has seen draining: it must get no new work.
func TestADrainingReplicaIsNotProbed(t *testing.T) {
	replica, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{7}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = replica.Close() })
	cat, err := catalog.Parse(fmt.Appendf(nil, "version: 1\nindexes: [a]\nservices:\n  - name: s\n    index: a\n    shards:\n      - replicas:\n          - {address: %q, data_centre: dc0}\n", replica.Address()))
	require.NoError(t, err)
	store := belief.NewStore()
	store.SetConfig(&belief.Config{Revision: 1, Catalog: cat})
	store.SetView(route.NewView([]route.Node{{ID: "vm-1", DataCentre: "dc0"}}))
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	metrics := observe.NewRegistry()
	p := &Prober{
		options: Options{Self: "vm-1", Belief: store, Upstream: client, Now: func() core.Time { return 1 }, ReportWithin: time.Minute, MaxInFlight: 1},
		events:  ring.New[probeResult](ringDepth), owners: newOwnerTable(),
		probes: observe.Counter(metrics, "probes_total"), inFlight: observe.Gauge(metrics, "probes_in_flight"),
	}
	target := night.Target{Ref: core.ShardRef{Service: "s"}, Address: replica.Address()}
	p.owners.update(cat, store.View())
	require.Equal(t, []night.Target{target}, p.owners.targets(cat, "vm-1", store.Draining))
	require.Nil(t, p.startProbe(t.Context(), target))
	p.done.Wait()
	require.Equal(t, 1, replica.Received())

	store.SetDraining([]string{replica.Address()})
	require.Empty(t, p.owners.targets(cat, "vm-1", store.Draining))
	require.IsType(t, night.ProbeSkipped{}, p.startProbe(t.Context(), target), "the list of targets may be older than the drain")
	p.done.Wait()
	require.Equal(t, 1, replica.Received())
}
