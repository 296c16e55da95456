package app

import (
	"crypto/tls"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/gather"
	"github.com/pistachiopier/pistachiopier/internal/night"
)

// startOperating starts the components for operators: probes of idle replicas,
// certificate checks, the collection of problems, and metrics.
func (n *Node) startOperating(tlsConfig *tls.Config, certificates []certificateExpiry) {
	n.collector = &gather.Collector{
		Self:     n.identity,
		TLS:      tlsConfig,
		Nodes:    n.knownNodes,
		Problems: n.problems,
		Now:      n.now,
	}
	n.prober = night.Start(night.Options{
		Self:         n.identity.Node,
		Belief:       n.belief,
		Upstream:     n.upstream,
		Now:          n.now,
		Log:          n.log,
		Problems:     n.problems,
		Metrics:      n.metrics,
		ReportWithin: n.settings.Probing.ReportWithin,
		MaxInFlight:  n.settings.Probing.InFlight,
	})
	n.upstream.SetObserver(n.prober.Observe)
	n.upstream.OnDroppedReply(n.handleDroppedReply)
	n.expiry = startExpiryWatcher(n.problems, n.metrics, certificates, n.settings.TLS.WarnBefore)
	n.watchMetrics()
}

func (n *Node) stopOperating() {
	if n.expiry != nil {
		n.expiry.close()
	}
	if n.prober != nil {
		n.prober.Close()
	}
}

// entries returns the addresses that a caller may use. The view does not contain
// VMs that are leaving.
func (n *Node) entries(dataCentre string) api.Entries {
	var list []api.EntryAddress
	for _, node := range n.belief.View().Nodes() {
		list = append(list, api.EntryAddress{Node: node.ID, Address: node.CallerAddress, DataCentre: node.DataCentre})
	}
	return api.Entries{
		Entries: n.rotation.Order(list, dataCentre, n.settings.Limits.Entries),
		TTLMs:   n.settings.EntriesTTL.Milliseconds(),
		// The key prefix makes this node the home of the caller's keys.
		KeyPrefix: n.home.Prefix(),
	}
}

// nodeAddresses lists every node in the view or the VM list, since operators look for nodes
// that no longer answer.
func (n *Node) nodeAddresses() []api.NodeAddress {
	list := []api.NodeAddress{}
	for _, node := range n.knownNodes() {
		list = append(list, api.NodeAddress{Node: node.ID, DataCentre: node.DataCentre, OperatorAddress: node.OperatorAddress})
	}
	return list
}

func (n *Node) health() api.Health {
	if n.stopping.Load() {
		return api.Health{State: api.HealthDraining, Why: "a planned stop is in progress"}
	}
	if n.belief.Config() == nil {
		return api.Health{State: api.HealthStarting, Why: "no configuration is in force yet"}
	}
	if len(n.belief.View().Nodes()) == 0 {
		return api.Health{State: api.HealthStarting, Why: "the VM list has not been read yet"}
	}
	if count := len(n.problems.List()); count > 0 {
		return api.Health{State: api.HealthDegraded, Why: strconv.Itoa(count) + " problems are present, see /v1/problems"}
	}
	return api.Health{State: api.HealthReady}
}
