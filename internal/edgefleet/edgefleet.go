// Package edgefleet runs a small forwarding tier in one process on loopback: nodes, and
// stand-ins for the users' metadata store and replicas. The demo and tests use it.
package edgefleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/pistachiopier/pistachiopier/internal/edge"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/wait"
	"github.com/pistachiopier/pistachiopier/platform"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	// stopWait is short to keep planned stops short.
	stopWait    = 1500 * time.Millisecond
	configApply = 3 * time.Second
	// extraRatio, extraWindow and extraAllowance limit extra sends as the users' deployments
	// do, scaled down to fewer requests.
	extraRatio     = 0.2
	extraWindow    = 10 * time.Second
	extraAllowance = 50
	resolveTimeout = time.Second
	pollInterval   = 5 * time.Millisecond
	// recordBytes is the length of a record in an answer.
	recordBytes = 16
)

// Fleet is a running tier. It is used from one goroutine.
type Fleet struct {
	Store    *platformtest.Store
	Replicas []*platformtest.Replica
	Nodes    []*Node
	// dataCentres holds the data centre of each of Replicas, in the same order; restarts counts the
	// restarted replicas.
	dataCentres []string
	restarts    int
}

// Node is one node of the tier.
type Node struct {
	*edge.Node
	Settings *settings.Edge
	app      *fx.App
	stopped  bool
}

// Start starts a store without replicas or nodes; AddReplica and AddNode add them.
func Start() (*Fleet, error) {
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, fault.Wrap("start the stand-in for the metadata store", err)
	}
	return &Fleet{Store: store}, nil
}

// AddReplica starts a replica and puts it into the store. Its answers hold the given
// records, each truncated or padded to recordBytes.
func (f *Fleet) AddReplica(service, dataCentre string, records ...string) (*platformtest.Replica, error) {
	var body strings.Builder
	for _, record := range records {
		fmt.Fprintf(&body, "%-*.*s", recordBytes, recordBytes, record)
	}
	replica, err := platformtest.StartReplica(fmt.Sprintf("i-%s-%d", service, len(f.Replicas)), service, []byte(body.String()))
	if err != nil {
		return nil, fault.Wrap("start a stand-in for a replica", err)
	}
	f.Replicas = append(f.Replicas, replica)
	f.dataCentres = append(f.dataCentres, dataCentre)
	f.Store.Put(replica.Key(), replica.Entry(dataCentre, platformtest.StateReady))
	return replica, nil
}

// RestartCrashed starts a new incarnation of each replica that a request has crashed, at the same address, under a new id
// and with the same behaviour, and returns their number.
func (f *Fleet) RestartCrashed() (int, error) {
	restarted := 0
	for i, former := range f.Replicas {
		if !former.Crashed() {
			continue
		}
		f.restarts++
		restartedReplica, err := former.Restart(fmt.Sprintf("i-%s-%d-%d", former.Service, i, f.restarts))
		if err != nil {
			return restarted, fault.Wrap("restart the stand-in for a replica", err)
		}
		f.Replicas[i] = restartedReplica
		f.Store.Remove(former.Key())
		f.Store.Put(restartedReplica.Key(), restartedReplica.Entry(f.dataCentres[i], platformtest.StateReady))
		restarted++
	}
	return restarted, nil
}

// AddNode starts a node after change, if not nil, has edited its settings. The first node is the seed of all others.
func (f *Fleet) AddNode(dataCentre string, log io.Writer, change func(*settings.Edge)) (*Node, error) {
	sockets := NewSockets()
	defer sockets.Close()
	s := &settings.Edge{
		Node: fmt.Sprintf("vm-%d", len(f.Nodes)), DataCentre: dataCentre,
		StoreAddress: f.Store.Address(), StopWait: stopWait, ConfigApplyLimit: configApply,
		ExtraRatio: extraRatio, ExtraWindow: extraWindow, ExtraAllowance: extraAllowance,
	}
	if err := openSockets(sockets, s); err != nil {
		return nil, err
	}
	s.Seeds = []string{s.PeerAddress}
	if len(f.Nodes) > 0 {
		s.Seeds = []string{f.Nodes[0].Settings.PeerAddress}
	}
	if change != nil {
		change(s)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	node := &Node{Settings: s}
	node.app, node.Node = edge.NewOn(s, log, sockets)
	if err := errors.Join(node.app.Err(), node.app.Start(context.Background())); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, node)
	return node, nil
}

// openSockets opens the sockets of a node and sets their addresses in its settings.
func openSockets(sockets *Sockets, s *settings.Edge) error {
	var err error
	for _, address := range []*string{&s.CallerAddress, &s.ReadyAddress, &s.DirectoryAddress, &s.MetricsAddress} {
		if *address, err = sockets.OpenTCP(); err != nil {
			return err
		}
	}
	s.PeerAddress, err = sockets.OpenUDP()
	return err
}

// AwaitReady waits until all running nodes accept callers and the directory of each lists all of them.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	directory := platform.NewDirectoryClient(resolveTimeout)
	defer directory.Close()
	running := 0
	for _, node := range f.Nodes {
		if !node.stopped {
			running++
		}
	}
	for _, node := range f.Nodes {
		for !node.stopped && !node.isReady(ctx, directory, running) {
			if !wait.For(ctx, pollInterval) {
				return fault.NotRun(fault.CodeNotReady, node.Settings.Node+" does not accept callers or does not list all nodes", "see its log")
			}
		}
	}
	return nil
}

// isReady reports whether the node accepts callers and its directory lists at least the given number of nodes.
func (n *Node) isReady(ctx context.Context, directory *platform.DirectoryClient, nodes int) bool {
	if !n.AcceptsCallers() {
		return false
	}
	answer, err := directory.Resolve(ctx, n.Settings.DirectoryAddress, "", "")
	return err == nil && len(answer.Addresses) >= nodes
}

// Stop performs a planned stop of the node. Later calls do nothing.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	return n.app.Stop(ctx)
}

// Close stops all nodes at the same time, and then the replicas and the store.
func (f *Fleet) Close(ctx context.Context) error {
	failures := make([]error, len(f.Nodes))
	var stopping sync.WaitGroup
	for i, node := range f.Nodes {
		stopping.Go(func() { failures[i] = node.Stop(ctx) })
	}
	stopping.Wait()
	for _, replica := range f.Replicas {
		replica.Close()
	}
	f.Store.Close()
	return errors.Join(failures...)
}
