package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/keys"
)

const (
	dataCentres = 3
	// certificateValidity is long enough that no node warns of an expiring certificate.
	certificateValidity = 365 * 24 * time.Hour
	readTimeout         = 2 * time.Second
)

// Fleet is a stand-in platform and a set of node processes.
type Fleet struct {
	t      testing.TB
	binary string
	folder string
	client *client.Client
	// Platform is read by the nodes, unless NodeOptions name another.
	Platform  *Platform
	Authority *keys.Authority
	nodes     []*Node
	started   int
	revision  uint64
}

// Node is a node process.
type Node struct {
	*Process
	fleet *Fleet
	// VM is the node's entry in the VM list, unless a test lists the node otherwise.
	VM       confservice.VM
	platform *Platform
}

// NodeOptions change how a node is started.
type NodeOptions struct {
	// Platform replaces the fleet's platform.
	Platform *Platform
	// Authority replaces the fleet's certificate authority.
	Authority *keys.Authority
	// Settings holds additional lines of the settings file.
	Settings string
	// CallerAddress replaces the default, a free port.
	CallerAddress string
}

// NewFleet starts a platform and no nodes.
func NewFleet(t testing.TB, binary string) *Fleet {
	t.Helper()
	authority, err := keys.NewAuthority(time.Now(), certificateValidity)
	require.NoError(t, err)
	f := &Fleet{t: t, binary: binary, folder: t.TempDir(), client: client.New(), Platform: StartPlatform(t, binary), Authority: authority}
	t.Cleanup(f.client.Close)
	return f
}

// Spawn starts a node without listing it or waiting for it.
func (f *Fleet) Spawn(options NodeOptions) *Node {
	f.t.Helper()
	f.started++
	id := fmt.Sprintf("vm-%d", f.started)
	dataCentre := fmt.Sprintf("dc%d", (f.started-1)%dataCentres+1)
	n := &Node{fleet: f, platform: options.Platform}
	if n.platform == nil {
		n.platform = f.Platform
	}
	n.VM = confservice.VM{ID: core.NodeID(id), DataCentre: dataCentre, State: confservice.VMLive}
	path := filepath.Join(f.folder, id+".yaml")
	require.NoError(f.t, os.WriteFile(path, []byte(f.settings(n, options)), 0o600))
	n.Process = Start(f.t, f.binary, id, "serve", "--settings", path)
	return n
}

func (f *Fleet) settings(n *Node, options NodeOptions) string {
	f.t.Helper()
	authority := options.Authority
	if authority == nil {
		authority = f.Authority
	}
	pair, err := authority.Issue(string(n.VM.ID), time.Now(), certificateValidity)
	require.NoError(f.t, err)
	caller := options.CallerAddress
	if caller == "" {
		caller = "127.0.0.1:0"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node: %s\ndata_centre: %s\ncaller_address: %q\n", n.VM.ID, n.VM.DataCentre, caller)
	fmt.Fprintf(&b, "peer_address: \"127.0.0.1:0\"\noperator_address: \"127.0.0.1:0\"\nplatform: \"http://%s\"\n", n.platform.Addresses[0])
	fmt.Fprintf(&b, "tls:\n  authority: %q\n  certificate: %q\n  key: %q\n", authority.Certificate, pair.Certificate, pair.Key)
	b.WriteString(options.Settings)
	return b.String()
}

// Add starts a node, reads its addresses and adds it to the fleet's nodes.
// PublishVMList announces it.
func (f *Fleet) Add(options NodeOptions) *Node {
	f.t.Helper()
	n := f.Spawn(options)
	var started struct {
		Caller   string `json:"caller_address"`
		Peer     string `json:"peer_address"`
		Operator string `json:"operator_address"`
	}
	n.AwaitEvent("node_started", &started)
	n.VM.CallerAddress = started.Caller
	n.VM.PeerAddress = started.Peer
	n.VM.OperatorAddress = started.Operator
	f.nodes = append(f.nodes, n)
	return n
}

// AddSuccessor starts a node that replaces another one, which is then listed as leaving.
func (f *Fleet) AddSuccessor(old *Node, options NodeOptions) {
	f.t.Helper()
	f.Add(options)
	f.PublishVMList()
	f.AwaitReady(1)
	old.VM.State = confservice.VMLeaving
	f.PublishVMList()
}

// Remove removes a node from the fleet's nodes; PublishVMList announces it.
func (f *Fleet) Remove(n *Node) {
	var kept []*Node
	for _, other := range f.nodes {
		if other != n {
			kept = append(kept, other)
		}
	}
	f.nodes = kept
}

// Nodes returns the fleet's nodes in the order of their start.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// PublishVMList publishes the VM list of the fleet's nodes.
func (f *Fleet) PublishVMList() {
	f.t.Helper()
	var vms []confservice.VM
	for _, n := range f.nodes {
		vms = append(vms, n.VM)
	}
	f.Platform.SetVMs(vms)
}

// Publish publishes the text as the next revision and returns it.
func (f *Fleet) Publish(text string) uint64 {
	f.t.Helper()
	f.revision++
	f.Platform.Publish(f.revision, text)
	return f.revision
}

// RequireOwner fails the test unless the node owns a bundle of the text while
// all the fleet's nodes are live: only then does its loss affect the others.
func (f *Fleet) RequireOwner(n *Node, text string) {
	f.t.Helper()
	parsed, err := catalog.Parse([]byte(text))
	require.NoError(f.t, err)
	var nodes []route.Node
	for _, other := range f.nodes {
		nodes = append(nodes, route.Node{ID: other.VM.ID, DataCentre: other.VM.DataCentre})
	}
	view := route.NewView(nodes)
	for _, bundle := range parsed.Bundles {
		if owner, ok := view.Rank(bundle.ID, bundle.DataCentre, 0); ok && owner.ID == n.VM.ID {
			return
		}
	}
	require.FailNow(f.t, string(n.VM.ID)+" owns no bundle of the text")
}

// CallerAddresses returns the nodes' addresses for callers.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, n := range f.nodes {
		list = append(list, n.VM.CallerAddress)
	}
	return list
}

// StartFleet starts nodes, publishes the VM list and the text, and waits until
// every node has applied both.
func StartFleet(t testing.TB, binary string, nodes int, text string, options NodeOptions) *Fleet {
	t.Helper()
	f := NewFleet(t, binary)
	for range nodes {
		f.Add(options)
	}
	f.PublishVMList()
	f.AwaitReady(f.Publish(text))
	return f
}

// AwaitReady waits until each node serves callers with the revision and its view
// holds as many nodes as the fleet.
func (f *Fleet) AwaitReady(revision uint64) {
	f.t.Helper()
	for _, n := range f.nodes {
		Await(f.t, fmt.Sprintf("%s is ready with revision %d and %d nodes", n.VM.ID, revision, len(f.nodes)), func() bool {
			status, ok := n.Status()
			return ok && servesCallers(status) && status.Revision == revision && status.Nodes == len(f.nodes)
		})
	}
}

// servesCallers reports whether the node answers callers. A degraded node does, and
// reports a problem.
func servesCallers(status Status) bool {
	return status.Health.State == api.HealthReady || status.Health.State == api.HealthDegraded
}

// Status holds the fields of a node's status that the tests read.
type Status struct {
	Health   api.Health `json:"health"`
	Revision uint64     `json:"config_revision"`
	Nodes    int        `json:"nodes"`
	InFlight int        `json:"in_flight"`
}

// Status reads the node's status; false if the node does not answer.
func (n *Node) Status() (Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var status Status
	err := n.fleet.client.Get(ctx, n.VM.OperatorAddress, "/v1/status", &status)
	return status, err == nil
}

// Problems reads the node's problems as JSON; empty if the node does not answer.
func (n *Node) Problems() string {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var problems json.RawMessage
	if err := n.fleet.client.Get(ctx, n.VM.OperatorAddress, "/v1/problems", &problems); err != nil {
		return ""
	}
	return string(problems)
}
