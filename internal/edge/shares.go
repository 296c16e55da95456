package edge

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// updateExtraBound updates this node's part of the bound on extra arrivals from the live nodes.
func (n *Node) updateExtraBound() {
	s := n.settings.Load()
	chosen := n.currentEntries()
	fleet := extra.Fleet{
		Entries: len(chosen),
		IsEntry: slices.ContainsFunc(chosen, func(node route.Node) bool { return node.ID == n.identity.Node }),
		Nodes:   max(len(n.view().Nodes()), len(s.Seeds)),
	}
	n.state.mutex.Lock()
	defer n.state.mutex.Unlock()
	allowance := n.allowancePart.Update(s.ExtraAllowance, fleet, s.ExtraWindow, n.now())
	bound := extra.Bound{Window: s.ExtraWindow, Ratio: s.ExtraRatio * extra.RatioUsed, Allowance: allowance}
	n.state.outlook.Budget.SetBound(bound)
}

// defaultMaxConnections applies to a service without a configured limit.
const defaultMaxConnections = 16

// maxConnections returns the number of connections that this node may hold to a replica.
func (n *Node) maxConnections(config *policy.Config, to replica.Replica) int {
	limit := config.Services[to.Service].MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	chosen := n.currentEntries()
	near := 0
	for _, node := range chosen {
		if node.DataCentre == to.DataCentre {
			near++
		}
	}
	return outlook.ConnectionsPerNode(limit, len(chosen), near, n.settings.Load().DataCentre == to.DataCentre)
}
