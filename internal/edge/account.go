package edge

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
)

// tellTrafficEvery is how often the log tells the bytes so far, as often as its other summary.
const tellTrafficEvery = 10 * time.Second

// sentToNode counts what went to another node. One that the view does not hold, as at the start, has
// no known data centre.
func (n *Node) sentToNode(node core.NodeID, purpose traffic.Purpose, bytes int) {
	known, _ := n.view().Node(node)
	n.traffic.Add(traffic.Flow{Purpose: purpose, DataCentre: known.DataCentre}, bytes)
}

// tellTraffic writes the bytes so far between this data centre and others.
func (n *Node) tellTraffic() {
	fields := decisionlog.Fields{}
	for purpose, bytes := range n.traffic.RemoteBytes(n.settings.Load().DataCentre) {
		fields["far_"+string(purpose)+"_bytes"] = bytes
	}
	n.log.Life("traffic", fields)
}
