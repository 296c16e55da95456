// Package traffic counts the bytes that a node sends and takes, by what they are for and by the
// data centre at the other end. Bytes between data centres are dear; without the account
// nobody can say which duty causes them.
package traffic

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// Purpose is what bytes are for.
type Purpose string

// The purposes. Those of messages count what this node wrote into links; Links counts the datagrams
// of the links that this node opened, both ways, and so holds handshakes, acknowledgements and
// the messages again.
const (
	Heartbeats Purpose = "heartbeats"
	Copies     Purpose = "copies"
	Delegated  Purpose = "delegated"
	Other      Purpose = "other"
	Links      Purpose = "links"
	Replicas   Purpose = "replicas"
)

// Flow is one kind of bytes.
type Flow struct {
	Purpose Purpose
	// DataCentre is the data centre at the other end, "" where it is not known.
	DataCentre string
}

// Counters counts bytes. It is safe for concurrent use.
type Counters struct {
	registry observe.Registry
	mutex    sync.RWMutex
	flows    map[Flow]metrics.Counter
}

// New makes an account whose counters are in a registry, as bytes_total.
func New(registry observe.Registry) *Counters {
	return &Counters{registry: registry, flows: map[Flow]metrics.Counter{}}
}

// Counter returns the counter of a flow. Its number is that of purposes times data centres.
func (a *Counters) Counter(flow Flow) metrics.Counter {
	a.mutex.RLock()
	counter := a.flows[flow]
	a.mutex.RUnlock()
	if counter != nil {
		return counter
	}
	counter = observe.Counter(a.registry, observe.Labelled("bytes_total", "purpose", string(flow.Purpose), "data_centre", flow.DataCentre))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.flows[flow] = counter
	return counter
}

// Add counts bytes of a flow.
func (a *Counters) Add(flow Flow, bytes int) { a.Counter(flow).Inc(int64(bytes)) }

// RemoteBytes sums by purpose what went to or came from other data centres than the given one.
func (a *Counters) RemoteBytes(home string) map[Purpose]int64 {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	far := map[Purpose]int64{}
	for flow, counter := range a.flows {
		if flow.DataCentre != home {
			far[flow.Purpose] += counter.Count()
		}
	}
	return far
}
