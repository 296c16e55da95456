package harness

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
)

// SplitFleet is a fleet of two sides. Each side reads a platform of its own, whose
// VM list has a proxy's address for every node of the other side, so that only the
// traffic between the sides can be cut, in either direction.
type SplitFleet struct {
	*Fleet
	// FirstToSecond and SecondToFirst are the proxies that forward traffic from one
	// side's nodes to the other's.
	FirstToSecond []*faultproxy.UDP
	SecondToFirst []*faultproxy.UDP
}

// NewSplitFleet starts the nodes of both sides and waits until all are ready.
func NewSplitFleet(t testing.TB, binary string, first, second int, text string) *SplitFleet {
	t.Helper()
	s := &SplitFleet{Fleet: NewFleet(t, binary)}
	other := StartPlatform(t, binary)
	for range first {
		s.Add(NodeOptions{})
	}
	for range second {
		s.Add(NodeOptions{Platform: other})
	}
	nodes := s.Nodes()
	s.FirstToSecond = s.proxies(nodes[first:])
	s.SecondToFirst = s.proxies(nodes[:first])
	s.Platform.SetVMs(append(vmList(nodes[:first], nil), vmList(nodes[first:], s.FirstToSecond)...))
	other.SetVMs(append(vmList(nodes[:first], s.SecondToFirst), vmList(nodes[first:], nil)...))
	revision := s.Publish(text)
	other.Publish(revision, text)
	s.AwaitReady(revision)
	return s
}

func (s *SplitFleet) proxies(nodes []*Node) []*faultproxy.UDP {
	s.t.Helper()
	var list []*faultproxy.UDP
	for i, n := range nodes {
		proxy, err := faultproxy.StartUDP(n.VM.PeerAddress, uint64(i))
		require.NoError(s.t, err)
		s.t.Cleanup(func() { _ = proxy.Close() })
		list = append(list, proxy)
	}
	return list
}

// vmList returns the nodes' VMs, with the proxies' addresses if any are given.
func vmList(nodes []*Node, proxies []*faultproxy.UDP) []confservice.VM {
	var vms []confservice.VM
	for i, n := range nodes {
		vm := n.VM
		if proxies != nil {
			vm.PeerAddress = proxies[i].Address()
		}
		vms = append(vms, vm)
	}
	return vms
}

// Cut drops all traffic between the sides.
func (s *SplitFleet) Cut() { s.setFaults(faultproxy.Faults{Blocked: true}) }

// Heal forwards all traffic between the sides again.
func (s *SplitFleet) Heal() { s.setFaults(faultproxy.Faults{}) }

func (s *SplitFleet) setFaults(faults faultproxy.Faults) {
	for _, proxy := range append(s.FirstToSecond, s.SecondToFirst...) {
		proxy.SetBoth(faults)
	}
}
