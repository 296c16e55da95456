package edge

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// dump returns the node's state for operators.
func (n *Node) dump() any {
	s := n.settings.Load()
	fields := map[string]any{
		"node": s.Node, "data_centre": s.DataCentre, "stopping": n.stopping.Load(), "in_flight": n.inFlight.Load(),
		"entries_refused": n.registry.refusedEntries(), "nodes": n.view().Nodes(), "store_revision": n.storeCopy.UpTo(), "store_era": n.storeCopy.Position().Era, "connections": n.replicas.OpenConnections(), "connections_not_accepted": n.replicas.ConnectionsNotAccepted(), "entry": n.isEntry(),
	}
	if config := n.state.config.Load(); config != nil {
		fields["config_version"] = config.Version
	}
	var replicas []replica.Replica
	n.state.withReplicas(func(table *replica.Table, _ core.Time) {
		table.Each(func(r replica.Replica) { replicas = append(replicas, r) })
		fields["sends_running"] = table.InFlight()
		fields["evacuated"] = table.Evacuated()
	})
	fields["replicas"] = replicas
	fields["memory"] = n.callerMemory.state()
	fields["places"] = n.places.busiest()
	fields["callers_over_share"] = n.state.callersOverShare()
	fields["returns_expected"] = n.state.returnsExpected()
	fields["entries_relieved"] = n.relievedEntries()
	fields["replicas_unusual"] = n.unusualReplicas()
	fields["quarantine"] = n.quarantine.Requests()
	return fields
}
