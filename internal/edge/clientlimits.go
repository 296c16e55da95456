package edge

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// labelListener names the listener in metrics of connections.
const labelListener = "listener"

// Names of the listeners in logs and metrics.
const (
	listenerCallers   = "callers"
	listenerDirectory = "directory"
	listenerReadiness = "readiness"
	listenerMetrics   = "metrics"
)

// clientLimitsInterval is the least time between two log lines on clients that met a limit: a line for each of them would
// be what such a crowd is after.
const clientLimitsInterval = time.Second

// limitedClients counts the clients that met a limit since the start.
type limitedClients struct {
	connectionsRefused, connectionsCut int64
	headsRefused, headsCut             int64
	bodiesTooLong                      int64
}

// servers returns the node's servers by the names of their listeners.
func (n *Node) servers() map[string]*callerServer {
	servers := map[string]*callerServer{listenerCallers: n.callers}
	for _, server := range n.auxiliary {
		servers[server.name] = server.callerServer
	}
	return servers
}

// limitedClients returns the counts of all listeners.
func (n *Node) limitedClients() limitedClients {
	total := limitedClients{headsRefused: n.headMemory.refused.Load(), headsCut: n.headMemory.cut.Load(), bodiesTooLong: n.bodiesTooLong.Load()}
	for _, server := range n.servers() {
		_, _, refused, cut := server.connectionCounts()
		total.connectionsRefused += refused
		total.connectionsCut += cut
	}
	return total
}

// logLimitedClients logs the counts if they have changed since the last line.
func (n *Node) logLimitedClients() {
	now := n.now()
	if now-n.limitedToldAt < clientLimitsInterval {
		return
	}
	n.limitedToldAt = now
	counts := n.limitedClients()
	if counts == n.limitedTold {
		return
	}
	n.limitedTold = counts
	n.log.Life("clients_limited", decisionlog.Fields{
		"connections_refused": counts.connectionsRefused, "connections_cut": counts.connectionsCut,
		"heads_refused": counts.headsRefused, "heads_cut": counts.headsCut, "bodies_too_long": counts.bodiesTooLong,
	})
}

// registerClientGauges registers the gauges of connections and of long heads.
func (n *Node) registerClientGauges() {
	for name, server := range n.servers() {
		watch := func(metric string, read func(open, limit, refused, cut int64) int64) {
			observe.GaugeFunc(n.metrics.reg, observe.Labelled(metric, labelListener, name), func() int64 {
				open, limit, refused, cut := server.connectionCounts()
				return read(int64(open), int64(limit), refused, cut)
			})
		}
		watch("client_connections", func(open, _, _, _ int64) int64 { return open })
		watch("client_connections_limit", func(_, limit, _, _ int64) int64 { return limit })
		watch("client_connections_refused_total", func(_, _, refused, _ int64) int64 { return refused })
		watch("client_connections_cut_total", func(_, _, _, cut int64) int64 { return cut })
	}
	heads := n.headMemory
	observe.GaugeFunc(n.metrics.reg, "head_memory_bytes", func() int64 { used, _ := heads.used(); return used })
	observe.GaugeFunc(n.metrics.reg, "head_memory_limit_bytes", func() int64 { _, limit := heads.used(); return limit })
	observe.GaugeFunc(n.metrics.reg, "heads_refused_total", heads.refused.Load)
	observe.GaugeFunc(n.metrics.reg, "heads_cut_total", heads.cut.Load)
	observe.GaugeFunc(n.metrics.reg, "bodies_too_long_total", n.bodiesTooLong.Load)
}
