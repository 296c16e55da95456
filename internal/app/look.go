package app

import (
	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/confwatch"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// Status is a summary of a node's state for operators.
type Status struct {
	Node           core.NodeID `json:"node"`
	DataCentre     string      `json:"data_centre"`
	Incarnation    uint64      `json:"incarnation"`
	Health         api.Health  `json:"health"`
	ConfigRevision uint64      `json:"config_revision"`
	View           uint64      `json:"view"`
	Nodes          int         `json:"nodes"`
	InFlight       int         `json:"in_flight"`
	// Paused is set after a pause of the process, until the node has confirmed that its state is current.
	Paused bool `json:"paused"`
	// DrainedUpstreams counts the upstreams that any node has seen draining.
	DrainedUpstreams int   `json:"drained_upstreams"`
	UptimeMs         int64 `json:"uptime_ms"`
}

// Status returns a summary of the node's state.
func (n *Node) Status() Status {
	status := Status{
		Node:             n.identity.Node,
		DataCentre:       n.settings.DataCentre,
		Incarnation:      n.identity.Incarnation,
		Health:           n.health(),
		View:             n.belief.View().ID(),
		Nodes:            len(n.belief.View().Nodes()),
		InFlight:         n.entry.InFlight(),
		Paused:           n.belief.Paused(),
		DrainedUpstreams: n.belief.DrainingUpstreams(),
		UptimeMs:         n.now().Milliseconds(),
	}
	if config := n.belief.Config(); config != nil {
		status.ConfigRevision = config.Revision
	}
	return status
}

// Dump is a node's detailed state.
type Dump struct {
	Status            any          `json:"status"`
	Nodes             []route.Node `json:"nodes"`
	PeerLinks         int          `json:"peer_links"`
	EntryRings        []ring.Stats `json:"entry_rings"`
	OwnerRings        []ring.Stats `json:"owner_rings"`
	MembershipRing    ring.Stats   `json:"membership_ring"`
	SilentConnections int64        `json:"silent_upstream_connections"`
	HomeRings         []ring.Stats `json:"home_rings"`
	DroppedReplies    int64        `json:"dropped_upstream_replies"`
	// OwnerShards lists the queues and replicas of the shards that this node serves.
	OwnerShards []owner.ShardDump `json:"owner_shards"`

	// Quarantine lists the requests that are suspected or set aside because replicas ended while running them.
	Quarantine []quarantine.RequestStatus `json:"quarantine"`

	Config   confwatch.Dump `json:"config"`
	Problems any            `json:"problems"`
}

func (n *Node) dump() any {
	return Dump{
		Status:            n.Status(),
		Nodes:             n.belief.View().Nodes(),
		PeerLinks:         n.pool.LinkCount(),
		EntryRings:        n.entry.Rings(),
		OwnerRings:        n.owner.Rings(),
		MembershipRing:    n.members.Rings(),
		SilentConnections: n.upstream.SilentConnections(),
		HomeRings:         n.home.Rings(),
		DroppedReplies:    n.upstream.DroppedReplies(),
		Config:            n.config.Dump(),
		Problems:          n.collector.Local().Problems,
		OwnerShards:       n.owner.Dump(),
		Quarantine:        n.quarantine.Requests(),
	}
}
