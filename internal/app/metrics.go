package app

import (
	"runtime"
	"runtime/metrics"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

// watchMetrics registers the gauges that are read from the node's components.
func (n *Node) watchMetrics() {
	observe.GaugeFunc(n.metrics, "uptime_seconds", func() int64 { return int64(n.now() / time.Second) })
	observe.GaugeFunc(n.metrics, "process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	observe.GaugeFunc(n.metrics, "process_memory_bytes", processMemory)
	observe.GaugeFunc(n.metrics, "problems", func() int64 { return int64(len(n.problems.List())) })
	observe.GaugeFunc(n.metrics, "problems_not_listed_total", func() int64 { return int64(n.problems.Overflow()) })
	observe.GaugeFunc(n.metrics, "view_nodes", func() int64 { return int64(len(n.belief.View().Nodes())) })
	observe.GaugeFunc(n.metrics, "peer_links", func() int64 { return int64(n.pool.LinkCount()) })
	observe.GaugeFunc(n.metrics, "upstream_replies_dropped_total", n.upstream.DroppedReplies)
	observe.GaugeFunc(n.metrics, "requests_suspected", func() int64 { return n.quarantine.Count(corequarantine.Suspect) })
	observe.GaugeFunc(n.metrics, "requests_set_aside", n.SetAsideCount)
	n.watchRings("entry", func() []ring.Stats { return n.entry.Rings() })
	n.watchRings("owner", func() []ring.Stats { return n.owner.Rings() })
	n.watchRings("home", func() []ring.Stats { return n.home.Rings() })
}

const memoryMetric = "/memory/classes/total:bytes"

// processMemory returns the memory held by the Go runtime, in bytes.
func processMemory() int64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// watchRings registers gauges of the sums over a component's rings.
func (n *Node) watchRings(component string, read func() []ring.Stats) {
	sum := func(pick func(ring.Stats) int64) func() int64 {
		return func() int64 {
			var total int64
			for _, stats := range read() {
				total += pick(stats)
			}
			return total
		}
	}
	observe.GaugeFunc(n.metrics, component+"_ring_depth", sum(func(s ring.Stats) int64 { return int64(s.Depth) }))
	observe.GaugeFunc(n.metrics, component+"_ring_capacity", sum(func(s ring.Stats) int64 { return int64(s.Capacity) }))
	observe.GaugeFunc(n.metrics, component+"_ring_refused_total", sum(func(s ring.Stats) int64 { return s.Refused }))
	observe.GaugeFunc(n.metrics, component+"_ring_dropped_total", sum(func(s ring.Stats) int64 { return s.Dropped }))
}

func (n *Node) watchListener(name string, listener *api.LimitedListener) {
	observe.GaugeFunc(n.metrics, name+"_connections", listener.Open)
	observe.GaugeFunc(n.metrics, name+"_connections_limit", func() int64 { return int64(n.settings.Limits.Connections) })
	observe.GaugeFunc(n.metrics, name+"_connections_refused_total", listener.Refused)
}
