package edge

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// setBound updates this node's part of the bound on extra arrivals from the live nodes.
func (n *Node) setBound() {
	s := n.settings.Load()
	chosen := n.chosen()
	fleet := extra.Fleet{
		Entries: len(chosen),
		IsEntry: slices.ContainsFunc(chosen, func(one route.Node) bool { return one.ID == n.identity.Node }),
		Nodes:   max(len(n.view().Nodes()), len(s.Seeds)),
	}
	n.beliefs.mutex.Lock()
	defer n.beliefs.mutex.Unlock()
	allowance := n.allowancePart.Update(s.ExtraAllowance, fleet, s.ExtraWindow, n.now())
	bound := extra.Bound{Window: s.ExtraWindow, Ratio: s.ExtraRatio * extra.RatioUsed, Allowance: allowance}
	n.beliefs.outlook.Budget.SetBound(bound)
}

// defaultConnections is the limit of a service that states none.
const defaultConnections = 16

// connectionShare is how many connections this node may hold to a replica.
func (n *Node) connectionShare(config *policy.Config, to replica.Replica) int {
	limit := config.Services[to.Service].MaxConnections
	if limit <= 0 {
		limit = defaultConnections
	}
	chosen := n.chosen()
	near := 0
	for _, one := range chosen {
		if one.DataCentre == to.DataCentre {
			near++
		}
	}
	return outlook.ConnectionsPerNode(limit, len(chosen), near, n.settings.Load().DataCentre == to.DataCentre)
}
