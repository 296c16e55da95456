package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Seeds is a list of nodes' peer addresses where there is no VM list. A node's id
// then is its peer address. Seeds may be stale: the other nodes, and what the
// seeds' own particulars are, come by heartbeat.
type Seeds struct {
	// self is this node's own peer address. It is left out of the list: a seed that
	// read its own bare address there would forget its other addresses.
	self string

	mutex     sync.Mutex
	addresses []string
	// sequence rises with each other list.
	sequence uint64
	replaced chan struct{}
}

// NewSeeds makes a list of seeds; self is this node's own peer address.
func NewSeeds(self string, addresses []string) *Seeds {
	return &Seeds{self: self, addresses: addresses, sequence: 1, replaced: make(chan struct{})}
}

// Replace puts other seeds in place of the former ones. Nodes that are known by heartbeat
// stay known; the new seeds are what is turned to when none of those answers.
func (s *Seeds) Replace(addresses []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Equal(addresses, s.addresses) {
		return
	}
	s.addresses = addresses
	s.sequence++
	close(s.replaced)
	s.replaced = make(chan struct{})
}

// ReadVMs implements Lister.
func (s *Seeds) ReadVMs(ctx context.Context, after uint64, timeout time.Duration) (confservice.VMList, bool, error) {
	list, replaced := s.read()
	if list.Sequence > after {
		return list, true, nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-replaced:
		list, _ = s.read()
		return list, true, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return confservice.VMList{}, false, nil
}

// read returns the list, and what is closed when another one takes its place.
func (s *Seeds) read() (confservice.VMList, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := confservice.VMList{Sequence: s.sequence}
	for _, address := range s.addresses {
		if address == s.self {
			continue
		}
		list.VMs = append(list.VMs, confservice.VM{ID: core.NodeID(address), State: confservice.VMLive, PeerAddress: address})
	}
	return list, s.replaced
}
