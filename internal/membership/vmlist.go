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
	// listWait is how long a watch of the VM list waits for a change. Each node
	// holds one, which counts as one read of the platform: 780 nodes make 39
	// reads a second.
	listWait = 20 * time.Second
	// listPause follows a read that failed or brought nothing new.
	listPause = 100 * time.Millisecond
	// markAgain is how often an unchanged list marks its leaving upstreams again,
	// well within the life of a mark.
	markAgain = time.Minute
	// staleReads is how many reads in a row must fail before the VM list counts
	// as stale.
	staleReads = 20
)

// watch reads the VM list and hands each new reading to the machine.
func (d *Duty) watch() {
	failures := 0
	for d.ctx.Err() == nil {
		timeout := listWait
		if d.seen == 0 {
			timeout = 0
		}
		list, changed, err := d.options.List.ReadVMs(d.ctx, d.seen, timeout)
		switch {
		case d.ctx.Err() != nil:
			return
		case err != nil:
			failures++
			d.readFailed(err, failures)
			wait.For(d.ctx, listPause)
			continue
		case !changed || list.Sequence <= d.seen:
			wait.For(d.ctx, listPause)
		default:
			d.seen = list.Sequence
			d.adopt(list)
		}
		failures = 0
		d.options.Problems.Clear(observe.KindVMListStale, string(d.options.Self.ID))
	}
}

func (d *Duty) readFailed(err error, failures int) {
	d.options.Log.WithError(err).WithField("event", "vm_list_read_failed").Warn("VM list not read")
	if failures >= staleReads {
		d.options.Problems.Report(observe.KindVMListStale, string(d.options.Self.ID), strconv.Itoa(failures)+" reads in a row failed")
	}
}

func (d *Duty) adopt(list confservice.VMList) {
	listed := listedNodes(list)
	nodes := make([]route.Node, 0, len(listed.Nodes))
	for _, one := range listed.Nodes {
		nodes = append(nodes, one.Node)
	}
	d.listed.Store(&nodes)
	d.list.Store(&list)
	_ = d.events.Put(d.ctx, listed)
}

// marking is what the marks of leaving upstreams were last made from, and when.
type marking struct {
	list   *confservice.VMList
	config *belief.Config
	at     core.Time
}

// due reports whether the marks are to be made again: the list or the text is
// another one, or the marks would end although the list still says the same.
func (m marking) due(now marking) bool {
	return m.list != now.list || m.config != now.config || now.at-m.at >= markAgain
}

// markLeaving marks the upstreams that the VM list shows leaving. The list may
// be read before the first text and may stay unchanged for longer than a mark
// lasts, so it is not enough to mark when a list arrives.
func (d *Duty) markLeaving() {
	now := marking{list: d.list.Load(), config: d.options.Belief.Config(), at: d.options.Now()}
	if now.list == nil || now.config == nil || !d.marked.due(now) {
		return
	}
	d.marked = now
	for _, address := range leavingUpstreams(*now.list, now.config.Catalog) {
		d.step(member.DrainSeen{Address: address, Draining: true})
	}
}

// listedNodes picks the tier's own nodes: the VMs with a peer address.
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

// leavingUpstreams lists the replicas on VMs that the list shows leaving. Such
// a VM is not one of the tier's nodes and is known by its IP, in any of its
// addresses.
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

func splitDetail(unreached int) string {
	if unreached == 0 {
		return "other nodes route by another view"
	}
	return strconv.Itoa(unreached) + " nodes that the VM list shows live do not answer"
}
