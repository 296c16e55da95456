package edge

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Shares of the bound on extra arrivals that the nodes use. The rest is for what they
// cannot know of each other: requests that are counted a moment apart, and processes
// that restart and forget what they spent.
const (
	ratioUsed = 0.85
	// entriesAllowance is the part of the fixed allowance for the nodes that callers
	// are sent to, othersAllowance that for all nodes: callers may keep old addresses.
	entriesAllowance = 0.45
	othersAllowance  = 0.15
)

// setBound shares the fixed allowance among the nodes that are live.
func (n *Node) setBound() {
	s := n.settings.Load()
	allowance := othersAllowance / float64(max(len(n.view().Nodes()), len(s.Seeds), 1))
	chosen := n.chosen()
	if slices.ContainsFunc(chosen, func(one route.Node) bool { return one.ID == n.identity.Node }) {
		allowance += entriesAllowance / float64(len(chosen))
	}
	bound := extra.Bound{Window: s.ExtraWindow, Ratio: s.ExtraRatio * ratioUsed, Allowance: s.ExtraAllowance * allowance}
	n.beliefs.mutex.Lock()
	defer n.beliefs.mutex.Unlock()
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
	return outlook.Connections(limit, len(chosen), near, n.settings.Load().DataCentre == to.DataCentre)
}
