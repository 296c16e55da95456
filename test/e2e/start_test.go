package e2e

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// A node in the VM list has a certificate of another authority. The other nodes
// must neither accept messages from it nor send it any, and must give complete
// answers through the next node in each bundle's ownership order.
func TestNodeWithAForeignCertificate(t *testing.T) {
	fleet, upstreams := startFleet(t, harness.NodeOptions{})
	otherAuthority, err := keys.NewAuthority(time.Now(), time.Hour)
	require.NoError(t, err)
	validCallers := fleet.CallerAddresses()
	foreignNode := fleet.Add(harness.NodeOptions{Authority: otherAuthority})
	fleet.PublishVMList()
	fleet.RequireOwner(foreignNode, harness.ConfigText(upstreams.Addresses))
	load := harness.StartLoad(t, callers, validCallers...)
	for _, n := range fleet.Nodes()[:len(validCallers)] {
		n.AwaitEvent("peer_certificate_refused", &struct{}{})
	}
	load.AwaitComplete(100)
	require.Zero(t, load.Stop().Partial)
	load.RequireCorrect()
}

// A node's caller port is in use by another process. The node must exit with code
// 1 and print the address and how to fix it.
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
