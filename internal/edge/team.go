package edge

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/core/spread"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	// shareFlush is how long a helper next by waits for most of its parts before its first
	// reply. Bytes within a data centre are cheap, and time is not.
	shareFlush = 4 * time.Millisecond
	// shareSilent is how long a helper next by may say nothing before it is left out: ten times its
	// first reply's time, so that a busy one is not.
	shareSilent = 10 * shareFlush
)

// team is the nodes of this data centre that share the sends of large questions.
type team struct {
	spread.Team
	nodes map[core.NodeID]peer.Target
}

// renewTeam chooses the helpers anew: the nodes that callers are not sent to, or all where there are
// no others.
func (n *Node) renewTeam(entries []route.Node) {
	own := n.settings.Load().DataCentre
	isEntry := func(one route.Node) bool {
		return slices.ContainsFunc(entries, func(entry route.Node) bool { return entry.ID == one.ID })
	}
	var all, idle []route.Node
	for _, one := range n.view().Nodes() {
		if one.DataCentre != own {
			continue
		}
		if !isEntry(one) {
			idle = append(idle, one)
		}
		all = append(all, one)
	}
	if len(idle) == 0 {
		idle = all
	}
	made := &team{nodes: map[core.NodeID]peer.Target{}}
	var ids []core.NodeID
	for _, one := range idle {
		if one.ID == n.identity.Node {
			continue
		}
		ids = append(ids, one.ID)
		made.nodes[one.ID] = peer.Target{Node: one.ID, Address: one.PeerAddress}
	}
	made.Team = spread.NewTeam(ids)
	n.team.Store(made)
}

// sharedFrom is the number of sends of one question from which on this node shares them.
func (n *Node) sharedFrom() int {
	team := n.team.Load()
	if team == nil || len(team.Groups) == 0 {
		return 0
	}
	return spread.From(n.views.Self().Weight)
}

// share hands sends to nodes next by and returns those that are left to this one.
func (q *request) share(sends []*exchange) []*exchange {
	team := q.node.team.Load()
	if team == nil {
		return sends
	}
	services := make([]string, len(sends))
	for i, one := range sends {
		services[i] = one.send.Replica.Service
	}
	var left []*exchange
	for place, share := range team.Shares(services) {
		members := make([]*exchange, 0, len(share))
		for _, i := range share {
			members = append(members, sends[i])
		}
		helper, ok := peer.Target{}, false
		if place < len(team.Groups) && len(members) > 0 {
			helper, ok = q.node.helpers.choose(team.targets(place), q.node.now())
		}
		if !ok {
			left = append(left, members...)
			continue
		}
		g := q.ask(helper, members, &peerpb.DelegateRequest{FlushUs: uint64(shareFlush.Microseconds())})
		time.AfterFunc(shareSilent, func() {
			if !g.heard.Load() {
				q.node.helpers.avoid(helper.Node, q.node.now())
			}
		})
	}
	return left
}

func (t *team) targets(place int) []peer.Target {
	targets := make([]peer.Target, 0, len(t.Groups[place]))
	for _, id := range t.Groups[place] {
		targets = append(targets, t.nodes[id])
	}
	return targets
}

// delegable reports whether a request's first sends may go through other nodes.
func (q *request) delegable() bool {
	return q.route.Gather != nil && len(q.template.Body) <= maxDelegatedBody
}
