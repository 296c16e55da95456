package membership

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// Seeds is a list of nodes' peer addresses where there is no VM list. A node's id
// then is its peer address. Seeds may be stale: the other nodes, and what the
// seeds' own particulars are, come by heartbeat.
type Seeds struct {
	// Self is this node's own peer address. It is left out of the list: a seed that
	// read its own bare address there would forget its other addresses.
	Self      string
	Addresses []string
}

// ReadVMs implements Lister. The list never changes.
func (s Seeds) ReadVMs(ctx context.Context, after uint64, timeout time.Duration) (confservice.VMList, bool, error) {
	const sequence = 1
	if after >= sequence {
		wait.For(ctx, timeout)
		return confservice.VMList{}, false, nil
	}
	list := confservice.VMList{Sequence: sequence}
	for _, address := range s.Addresses {
		if address == s.Self {
			continue
		}
		list.VMs = append(list.VMs, confservice.VM{ID: core.NodeID(address), State: confservice.VMLive, PeerAddress: address})
	}
	return list, true, nil
}
