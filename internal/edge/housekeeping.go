package edge

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
)

const (
	// housekeepingInterval is the interval between checks for expired state, startInterval that while a node that has
	// just started gets to know the others.
	housekeepingInterval = 200 * time.Millisecond
	startInterval        = 50 * time.Millisecond
)

func (n *Node) housekeep() {
	ticker, summary := time.NewTicker(startInterval), time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	defer summary.Stop()
	starting := true
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-summary.C:
			n.logTraffic()
			continue
		case <-ticker.C:
		}
		if starting && !n.viewIsIncomplete() {
			starting = false
			ticker.Reset(housekeepingInterval)
		}
		n.registry.expire()
		n.state.withReplicas((*replica.Table).ExpireWord)
		n.updateEntries()
		n.updateRole()
		if suspended := n.replicas.CloseIdleAfterSuspension(); suspended > 0 {
			n.log.Life("node_resumed", decisionlog.Fields{"suspended_ms": suspended.Milliseconds()})
		}
		n.updateExtraBound()
		n.closeUnusable()
		n.places.expire(n.isUsable)
		n.logLimitedClients()
	}
}

// closeUnusable closes the connections to replicas that get no further requests.
func (n *Node) closeUnusable() {
	n.replicas.Retain(n.isUsable)
}

// isUsable reports whether an incarnation may get requests.
func (n *Node) isUsable(incarnation replica.Incarnation) (usable bool) {
	n.state.withReplicas(func(table *replica.Table, _ core.Time) { usable = table.IsUsable(incarnation) })
	return usable
}

// updateEntries selects the nodes that callers are sent to.
func (n *Node) updateEntries() {
	former := n.entries.Load()
	chosen := n.selectEntries()
	if former != nil && slices.Equal(*former, chosen) {
		return
	}
	n.entries.Store(&chosen)
	n.places.setEntries(chosen)
	addresses := make([]string, 0, len(chosen))
	senders := make([]core.NodeID, 0, len(chosen))
	for _, node := range chosen {
		addresses = append(addresses, node.CallerAddress)
		senders = append(senders, node.ID)
	}
	n.state.withReplicas(func(table *replica.Table, _ core.Time) { table.SetSenders(n.identity.Node, senders) })
	n.log.Life("entries_changed", decisionlog.Fields{"entries": addresses, "live": len(n.view().Nodes())})
}

// currentEntries returns the nodes that callers are sent to.
func (n *Node) currentEntries() []route.Node {
	if entries := n.entries.Load(); entries != nil {
		return *entries
	}
	return nil
}
