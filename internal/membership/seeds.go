package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Seeds is a list of peer addresses that replaces the VM list where there is none.
// A node's id then is its peer address. Seeds may be stale: heartbeats bring the
// other nodes, and the details of the seeds themselves.
type Seeds struct {
	// self is this node's own peer address. It is left out of the list: an entry
	// with the peer address alone would overwrite this node's other addresses.
	self string

	mutex     sync.Mutex
	addresses []string
	// sequence rises with each change of the list.
	sequence uint64
	// changed is closed when the list changes.
	changed chan struct{}
}

// NewSeeds returns a list of seeds; self is this node's own peer address.
func NewSeeds(self string, addresses []string) *Seeds {
	return &Seeds{self: self, addresses: addresses, sequence: 1, changed: make(chan struct{})}
}

// Replace replaces the seeds. Nodes known by heartbeat stay known; the new seeds are contacted
// when none of those answers.
func (s *Seeds) Replace(addresses []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Equal(addresses, s.addresses) {
		return
	}
	s.addresses = addresses
	s.sequence++
	close(s.changed)
	s.changed = make(chan struct{})
}

// ReadVMs implements Lister.
func (s *Seeds) ReadVMs(ctx context.Context, after uint64, timeout time.Duration) (confservice.VMList, bool, error) {
	list, changed := s.read()
	if list.Sequence > after {
		return list, true, nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		list, _ = s.read()
		return list, true, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return confservice.VMList{}, false, nil
}

// read returns the list and a channel that is closed when the list changes.
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
	return list, s.changed
}
