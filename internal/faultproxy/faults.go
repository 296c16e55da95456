// Package faultproxy forwards TCP and UDP between two ends and injects faults
// that can be switched while traffic flows: delay, loss, one-way cuts, flows
// that go silent for good, resets, reordering, duplicates, throttling and
// replies cut short. Random choices come from a seeded source. It is for tests.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Direction is the way that bytes go.
type Direction int

// The directions, seen from the end that opened the flow.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Faults are what happens to bytes of one direction. The zero value forwards
// them unchanged. Shares are parts of all datagrams, 0 to 1.
type Faults struct {
	// Delay holds bytes back.
	Delay time.Duration
	// Blocked lets nothing through. Datagrams are lost; TCP bytes wait until the cut
	// ends, as they would be sent again by the ends.
	Blocked bool
	// BytesPerSecond throttles; 0 is no limit.
	BytesPerSecond int
	// Loss, Duplicate and Reorder are for UDP. A reordered datagram goes after
	// the next one of its flow.
	Loss      float64
	Duplicate float64
	Reorder   float64
	// ResetAfterBytes is for TCP: a flow is reset once it has carried this many bytes
	// since the fault was set; 0 is never.
	ResetAfterBytes int
}

// switchboard holds a proxy's present faults.
type switchboard struct {
	mutex   sync.Mutex
	faults  [directions]Faults
	changed chan struct{}
	random  *rand.Rand
	dropped int
}

func newSwitchboard(seed uint64) *switchboard {
	return &switchboard{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults of one direction.
func (s *switchboard) Set(direction Direction, faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults[direction] = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetBoth replaces the faults of both directions.
func (s *switchboard) SetBoth(faults Faults) {
	s.Set(ToTarget, faults)
	s.Set(ToClient, faults)
}

// Dropped counts the datagrams and chunks of bytes that were swallowed.
func (s *switchboard) Dropped() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dropped
}

// present returns the faults of a direction and a channel that is closed when
// any of them change.
func (s *switchboard) present(direction Direction) (Faults, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults[direction], s.changed
}

func (s *switchboard) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

func (s *switchboard) drop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropped++
}

// throttle returns how long bytes of this number take at the rate.
func throttle(bytes, perSecond int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(bytes) * time.Second / time.Duration(perSecond)
}
