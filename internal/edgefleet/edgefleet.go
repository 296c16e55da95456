// Package edgefleet runs a small forwarding tier in one process on loopback: nodes, and
// stand-ins of the users' metadata store and replicas. The demo and tests use it.
package edgefleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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
	anyPort = "127.0.0.1:0"
	// addressesOfNode are those of callers, readiness, directory, metrics and peers.
	addressesOfNode = 5
	// stopWait is short, so that planned stops are.
	stopWait    = 1500 * time.Millisecond
	configApply = 3 * time.Second
	// extraRatio, extraWindow and extraAllowance are a bound like those of the users'
	// deployments, for fewer requests.
	extraRatio     = 0.2
	extraWindow    = 10 * time.Second
	extraAllowance = 50
	askTimeout     = time.Second
	pollPause      = 5 * time.Millisecond
	// recordBytes is the length of one record of an answer.
	recordBytes = 16
)

// Fleet is a running tier. It is used from one goroutine.
type Fleet struct {
	Store    *platformtest.Store
	Replicas []*platformtest.Replica
	Nodes    []*Node
	// dataCentres are those of the replicas, in their order; born counts the revived ones.
	dataCentres []string
	born        int
}

// Node is one node of the tier.
type Node struct {
	*edge.Node
	Settings *settings.Edge
	app      *fx.App
	stopped  bool
}

// Start starts a store; nodes and replicas are added to it.
func Start() (*Fleet, error) {
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, fault.Step("start the stand-in of the store", err)
	}
	return &Fleet{Store: store}, nil
}

// AddReplica starts a replica and lists it. Its answers hold the given records, each cut
// or filled up to the length of a record.
func (f *Fleet) AddReplica(service, dataCentre string, records ...string) (*platformtest.Replica, error) {
	var body strings.Builder
	for _, one := range records {
		fmt.Fprintf(&body, "%-*.*s", recordBytes, recordBytes, one)
	}
	one, err := platformtest.StartReplica(fmt.Sprintf("i-%s-%d", service, len(f.Replicas)), service, []byte(body.String()))
	if err != nil {
		return nil, fault.Step("start a stand-in of a replica", err)
	}
	f.Replicas = append(f.Replicas, one)
	f.dataCentres = append(f.dataCentres, dataCentre)
	f.Store.Put(one.Key(), one.Entry(dataCentre, platformtest.StateReady))
	return one, nil
}

// RestartCrashed starts a new incarnation of each replica that has ended under a request, at its address and under an
// id of its own, and returns how many. Their acts are those of the former ones.
func (f *Fleet) RestartCrashed() (int, error) {
	revived := 0
	for i, former := range f.Replicas {
		if !former.Crashed() {
			continue
		}
		f.born++
		one, err := former.Restart(fmt.Sprintf("i-%s-%d-%d", former.Service, i, f.born))
		if err != nil {
			return revived, fault.Step("start a stand-in of a replica again", err)
		}
		f.Replicas[i] = one
		f.Store.Remove(former.Key())
		f.Store.Put(one.Key(), one.Entry(f.dataCentres[i], platformtest.StateReady))
		revived++
	}
	return revived, nil
}

// AddNode starts a node whose settings are changed first; the first node is the seed of all.
func (f *Fleet) AddNode(dataCentre string, log io.Writer, change func(*settings.Edge)) (*Node, error) {
	free, err := FreeAddresses(addressesOfNode)
	if err != nil {
		return nil, err
	}
	s := &settings.Edge{
		Node: fmt.Sprintf("vm-%d", len(f.Nodes)), DataCentre: dataCentre,
		CallerAddress: free[0], ReadyAddress: free[1], DirectoryAddress: free[2], MetricsAddress: free[3],
		PeerAddress: free[4], StoreAddress: f.Store.Address(), StopWait: stopWait, ConfigApply: configApply,
		ExtraRatio: extraRatio, ExtraWindow: extraWindow, ExtraAllowance: extraAllowance,
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
	one := &Node{Settings: s}
	one.app, one.Node = edge.New(s, log)
	if err := errors.Join(one.app.Err(), one.app.Start(context.Background())); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, one)
	return one, nil
}

// AwaitReady waits until the nodes that run take callers and each sends callers to all.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	directory := platform.NewDirectoryClient(askTimeout)
	defer directory.Close()
	running := 0
	for _, one := range f.Nodes {
		if !one.stopped {
			running++
		}
	}
	for _, one := range f.Nodes {
		for !one.stopped && !one.ready(ctx, directory, running) {
			if !wait.For(ctx, pollPause) {
				return fault.NotRun(fault.CodeNotReady, one.Settings.Node+" does not take callers", "look at its log")
			}
		}
	}
	return nil
}

// ready reports whether a node takes callers and sends them to so many nodes.
func (n *Node) ready(ctx context.Context, directory *platform.DirectoryClient, nodes int) bool {
	if !n.TakesCallers() {
		return false
	}
	answer, err := directory.Resolve(ctx, n.Settings.DirectoryAddress, "", "")
	return err == nil && len(answer.Addresses) >= nodes
}

// Stop is a planned stop of a node.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	return n.app.Stop(ctx)
}

// Close ends everything; the nodes stop at the same time.
func (f *Fleet) Close(ctx context.Context) error {
	failures := make([]error, len(f.Nodes))
	var stopping sync.WaitGroup
	for i, one := range f.Nodes {
		stopping.Go(func() { failures[i] = one.Stop(ctx) })
	}
	stopping.Wait()
	for _, one := range f.Replicas {
		one.Close()
	}
	f.Store.Close()
	return errors.Join(failures...)
}

// FreeAddresses finds addresses of loopback that are free for TCP and UDP. All are held
// until the last is found: a port that is given back may be given out again at once, and two
// addresses of one node would be the same.
func FreeAddresses(count int) ([]string, error) {
	var found []string
	for len(found) < count {
		listener, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, fault.Step("find a free port", err)
		}
		defer func() { _ = listener.Close() }()
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			// Something else has the port for UDP; the next one may be free.
			continue
		}
		defer func() { _ = packets.Close() }()
		found = append(found, listener.Addr().String())
	}
	return found, nil
}
