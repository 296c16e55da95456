package edge

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
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
	share := outlook.ConnectionShare{
		Limit: limit, Entries: len(chosen), IsEntry: n.isEntry(), IsNear: n.settings.Load().DataCentre == to.DataCentre,
		ViewIncomplete: n.viewIsIncomplete(),
	}
	for _, node := range chosen {
		if node.DataCentre == to.DataCentre {
			share.NearEntries++
		}
	}
	return share.Connections()
}

const (
	// entryLingerTime is how long a node that callers are no longer sent to still counts as an entry: some keep its
	// address for that long.
	entryLingerTime = leavePropagationTime + addressCacheFactor*addressTTLSeconds*time.Second
	// viewCompletionTime is how long after its start a node may not know all others.
	viewCompletionTime = time.Second
)

// viewIsIncomplete reports whether this node may not know all others yet.
func (n *Node) viewIsIncomplete() bool { return n.now() < viewCompletionTime }

// isEntry reports whether callers are or were lately sent to this node. Until it has chosen the entries it counts as
// one.
func (n *Node) isEntry() bool {
	return n.entries.Load() == nil || n.now() <= core.Time(n.entryUntil.Load())
}

// updateRole updates until when this node counts as an entry. Other nodes serve what reaches them, but keep no idle
// connection: all nodes of a large fleet together would hold more than a replica accepts.
func (n *Node) updateRole() {
	if slices.ContainsFunc(n.currentEntries(), func(node route.Node) bool { return node.ID == n.identity.Node }) {
		until := n.now()
		if !n.viewIsIncomplete() {
			until += entryLingerTime
		}
		n.entryUntil.Store(int64(max(until+2*housekeepingInterval, core.Time(n.entryUntil.Load()))))
	}
	is := n.isEntry()
	n.replicas.KeepIdle(is)
	if is == n.toldNoEntry {
		n.toldNoEntry = !is
		n.log.Life("role_changed", decisionlog.Fields{"entry": is, "entries": len(n.currentEntries())})
	}
}
