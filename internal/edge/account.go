package edge

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
)

// trafficLogInterval is the interval between log lines on traffic, the same as that of the log's other
// summary.
const trafficLogInterval = 10 * time.Second

// countPeerBytes counts bytes sent to another node. The data centre of a node that is not in the view, as at
// start-up, is unknown.
func (n *Node) countPeerBytes(node core.NodeID, purpose traffic.Purpose, bytes int) {
	known, _ := n.view().Node(node)
	n.traffic.Add(traffic.Flow{Purpose: purpose, DataCentre: known.DataCentre}, bytes)
}

// logTraffic logs the bytes exchanged so far between this data centre and the others.
func (n *Node) logTraffic() {
	fields := decisionlog.Fields{}
	for purpose, bytes := range n.traffic.RemoteBytes(n.settings.Load().DataCentre) {
		fields["far_"+string(purpose)+"_bytes"] = bytes
	}
	n.log.Life("traffic", fields)
}
