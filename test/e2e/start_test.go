package e2e

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// A node is started whose certificate comes from another authority, and the VM
// list names it. The others take no message of it and give it none; their
// answers stay whole by the next node of each order.
func TestNodeWithAForeignCertificate(t *testing.T) {
	fleet, upstreams := start(t, harness.NodeOptions{})
	foreign, err := keys.NewAuthority(time.Now(), time.Hour)
	require.NoError(t, err)
	good := fleet.CallerAddresses()
	intruder := fleet.Add(harness.NodeOptions{Authority: foreign})
	fleet.PublishVMList()
	fleet.RequireOwner(intruder, harness.ConfigText(upstreams.Addresses))
	load := harness.StartLoad(t, callers, good...)
	for _, n := range fleet.Nodes()[:len(good)] {
		n.AwaitEvent("peer_certificate_refused", &struct{}{})
	}
	load.AwaitComplete(100)
	require.Zero(t, load.Stop().Partial)
	load.RequireCorrect()
}

// A node's caller port is taken by another process. It says so, with the address
// and what to do, and ends.
func TestPortInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	fleet := harness.NewFleet(t, binary)
	node := fleet.Spawn(harness.NodeOptions{CallerAddress: taken.Addr().String()})
	require.Equal(t, 1, node.AwaitExit())
	require.Contains(t, node.Output(), "cannot listen on "+taken.Addr().String())
	require.Contains(t, node.Output(), "choose a free address")
}
