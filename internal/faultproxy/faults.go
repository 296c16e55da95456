// Package faultproxy is a test proxy that forwards TCP and UDP and injects faults,
// which can be changed while traffic flows: delay, loss, one-way blocking, flows
// silenced permanently, resets, reordering, duplication, throttling and truncated
// replies. Random choices come from a seeded source.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is the direction of traffic.
type Direction int

// The directions; the client is the end that opened the flow.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Faults are the faults of one direction. The zero value forwards traffic
// unchanged. Loss, Duplicate and Reorder are fractions of all datagrams, 0 to 1.
type Faults struct {
	// Delay is added to the transmission of each datagram or chunk of bytes.
	Delay time.Duration
	// Blocked forwards nothing. Datagrams are dropped; TCP bytes wait until the
	// direction is unblocked, since the ends would retransmit them.
	Blocked bool
	// BytesPerSecond limits the throughput; 0 is no limit.
	BytesPerSecond int
	// Loss, Duplicate and Reorder apply to UDP. A reordered datagram is sent after
	// the next one of its flow.
	Loss      float64
	Duplicate float64
	Reorder   float64
	// ResetAfterBytes applies to TCP: a flow is reset once it has carried this many
	// bytes since the fault was set; 0 is never.
	ResetAfterBytes int
}

// faultState holds a proxy's current faults.
type faultState struct {
	mutex   sync.Mutex
	faults  [directions]Faults
	changed chan struct{}
	random  *rand.Rand
	dropped int
}

func newFaultState(seed uint64) *faultState {
	return &faultState{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults of one direction.
func (s *faultState) Set(direction Direction, faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[direction] = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetBoth replaces the faults of both directions.
func (s *faultState) SetBoth(faults Faults) {
	s.Set(ToTarget, faults)
	s.Set(ToClient, faults)
}

// Dropped returns the number of datagrams and chunks of bytes that were discarded.
func (s *faultState) Dropped() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dropped
}

// current returns the faults of a direction and a channel that is closed when the
// faults of any direction change.
func (s *faultState) current(direction Direction) (Faults, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults[direction], s.changed
}

func (s *faultState) occurs(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

func (s *faultState) countDrop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropped++
}

// transmissionTime returns the time to send the bytes at the rate; 0 is no limit.
func transmissionTime(bytes, perSecond int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(perSecond)
}
