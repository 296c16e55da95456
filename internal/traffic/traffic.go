// Package traffic counts the bytes that a node sends and receives, by purpose and by the data
// centre at the other end. Traffic between data centres is expensive, and the counters show
// which duty causes it.
package traffic

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// Purpose classifies the counted bytes.
type Purpose string

// The purposes. Those of messages, which are the first four, count the bytes that this node wrote to
// links. Links counts the datagrams of the links that this node opened, in both directions, and so
// includes handshakes, acknowledgements and the messages again.
const (
	Heartbeats Purpose = "heartbeats"
	Copies     Purpose = "copies"
	Delegated  Purpose = "delegated"
	Other      Purpose = "other"
	Links      Purpose = "links"
	Replicas   Purpose = "replicas"
)

// Flow identifies one counter.
type Flow struct {
	Purpose Purpose
	// DataCentre is the data centre at the other end, "" where it is not known.
	DataCentre string
}

// Counters counts bytes by flow. It is safe for concurrent use.
type Counters struct {
	registry observe.Registry
	mutex    sync.RWMutex
	flows    map[Flow]metrics.Counter
}

// New returns Counters that register themselves in the registry as bytes_total.
func New(registry observe.Registry) *Counters {
	return &Counters{registry: registry, flows: map[Flow]metrics.Counter{}}
}

// Counter returns the counter of a flow. The number of counters is that of purposes times data centres.
func (c *Counters) Counter(flow Flow) metrics.Counter {
	c.mutex.RLock()
	counter := c.flows[flow]
	c.mutex.RUnlock()
	if counter != nil {
		return counter
	}
	counter = observe.Counter(c.registry, observe.Labelled("bytes_total", "purpose", string(flow.Purpose), "data_centre", flow.DataCentre))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.flows[flow] = counter
	return counter
}

// Add adds bytes to the counter of a flow.
func (c *Counters) Add(flow Flow, bytes int) { c.Counter(flow).Inc(int64(bytes)) }

// RemoteBytes sums by purpose the bytes exchanged with other data centres than the given one.
func (c *Counters) RemoteBytes(dataCentre string) map[Purpose]int64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	remote := map[Purpose]int64{}
	for flow, counter := range c.flows {
		if flow.DataCentre != dataCentre {
			remote[flow.Purpose] += counter.Count()
		}
	}
	return remote
}
