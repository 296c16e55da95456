package membership

import (
	"net"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	// watchTimeout is how long a watch of the VM list waits for a change. Each node
	// holds one, and each counts as a read of the platform: 780 nodes make 39 reads
	// a second.
	watchTimeout = 20 * time.Second
	// readRetryDelay is the pause after a read that failed or returned nothing new.
	readRetryDelay = 100 * time.Millisecond
	// markInterval is how often the leaving upstreams of an unchanged list are marked
	// again, well within the TTL of a drain mark.
	markInterval = time.Minute
	// staleAfterFailures is the number of consecutive failed reads after which the VM
	// list is reported stale.
	staleAfterFailures = 20
)

// watchVMList reads the VM list and passes each change to the state machine.
func (m *Manager) watchVMList() {
	failures := 0
	for m.ctx.Err() == nil {
		timeout := watchTimeout
		if m.lastSequence == 0 {
			timeout = 0
		}
		list, changed, err := m.options.Lister.ReadVMs(m.ctx, m.lastSequence, timeout)
		switch {
		case m.ctx.Err() != nil:
			return
		case err != nil:
			failures++
			m.reportReadFailure(err, failures)
			wait.For(m.ctx, readRetryDelay)
			continue
		case !changed || list.Sequence <= m.lastSequence:
			wait.For(m.ctx, readRetryDelay)
		default:
			m.lastSequence = list.Sequence
			m.applyList(list)
		}
		failures = 0
		m.options.Problems.Clear(observe.KindVMListStale, string(m.options.Self.ID))
	}
}

func (m *Manager) reportReadFailure(err error, failures int) {
	m.options.Log.WithError(err).WithField("event", "vm_list_read_failed").Warn("VM list could not be read")
	if failures >= staleAfterFailures {
		m.options.Problems.Report(observe.KindVMListStale, string(m.options.Self.ID), strconv.Itoa(failures)+" consecutive reads failed")
	}
}

func (m *Manager) applyList(list confservice.VMList) {
	listed := listedNodes(list)
	nodes := make([]route.Node, 0, len(listed.Nodes))
	for _, listedNode := range listed.Nodes {
		nodes = append(nodes, listedNode.Node)
	}
	m.nodes.Store(&nodes)
	m.vmList.Store(&list)
	_ = m.events.Put(m.ctx, listed)
}

// drainMarks identifies the VM list and configuration that leaving upstreams were
// last marked from, and when.
type drainMarks struct {
	list   *confservice.VMList
	config *belief.Config
	at     core.Time
}

// mustRenew reports whether to mark again: the list or the configuration was
// replaced, or the marks would expire while the list is unchanged.
func (m drainMarks) mustRenew(now drainMarks) bool {
	return m.list != now.list || m.config != now.config || now.at-m.at >= markInterval
}

// markLeaving marks the upstreams that the VM list shows as leaving. Marking on
// arrival of a list is not enough: the list may arrive before the first
// configuration and may stay unchanged for longer than the TTL of a mark.
func (m *Manager) markLeaving() {
	now := drainMarks{list: m.vmList.Load(), config: m.options.Belief.Config(), at: m.options.Now()}
	if now.list == nil || now.config == nil || !m.lastMarks.mustRenew(now) {
		return
	}
	m.lastMarks = now
	for _, address := range leavingUpstreams(*now.list, now.config.Catalog) {
		m.step(member.DrainSeen{Address: address, Draining: true})
	}
}

// listedNodes selects the tier's own nodes: the VMs with a peer address.
func listedNodes(list confservice.VMList) member.VMList {
	var listed member.VMList
	for _, vm := range list.VMs {
		if vm.PeerAddress == "" {
			continue
		}
		listed.Nodes = append(listed.Nodes, member.ListedNode{
			Node: route.Node{
				ID:              vm.ID,
				DataCentre:      vm.DataCentre,
				PeerAddress:     vm.PeerAddress,
				CallerAddress:   vm.CallerAddress,
				OperatorAddress: vm.OperatorAddress,
			},
			Leaving: vm.State == confservice.VMLeaving,
		})
	}
	return listed
}

// leavingUpstreams lists the addresses of the replicas on VMs that the list shows as
// leaving. Such a VM is not one of the tier's nodes and is matched by the host of
// its caller address.
func leavingUpstreams(list confservice.VMList, text *catalog.Catalog) []string {
	hosts := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.State == confservice.VMLeaving && vm.PeerAddress == "" {
			hosts[host(vm.CallerAddress)] = true
		}
	}
	delete(hosts, "")
	var addresses []string
	if len(hosts) == 0 {
		return nil
	}
	for _, service := range text.Services {
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				if hosts[host(replica.Address)] {
					addresses = append(addresses, replica.Address)
				}
			}
		}
	}
	return addresses
}

func host(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return name
}

func splitViewDetail(unreached int) string {
	if unreached == 0 {
		return "other nodes route by a different view"
	}
	return strconv.Itoa(unreached) + " nodes that are live in the VM list do not answer"
}
