// Package settings defines the settings that a node of the forwarding tier reads at its start and at each
// reload.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Edge holds the settings of one node.
type Edge struct {
	// Node is the VM's name, for operators; nodes identify each other by PeerAddress.
	Node       string
	DataCentre string
	// Regions maps data centres to regions. All data centres that are not listed share one region.
	Regions map[string]string
	// CallerAddress takes callers' requests, ReadyAddress readiness checks, DirectoryAddress lookups of the
	// addresses that callers connect to.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	OperatorAddress  string
	MetricsAddress   string
	// PeerAddress is the UDP address that other nodes send to. PeerListen is the address to listen on if
	// traffic is forwarded to a different port; otherwise it equals PeerAddress.
	PeerAddress string
	PeerListen  string
	// Seeds are the peer addresses of a few nodes; they may be stale.
	Seeds        []string
	StoreAddress string
	// Cores is the number of the VM's CPU cores; 0 means unknown.
	Cores float64
	// MemoryBytes is the memory of the VM that the process may use; 0 means unknown.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open; 0 means unknown.
	Descriptors int
	// StopWait is the time from the stop signal until the process is killed.
	StopWait time.Duration
	// ConfigApplyLimit is the time within which an acknowledged configuration must be in force.
	ConfigApplyLimit time.Duration
	// HeartbeatInterval is the time between two reports of a replica; 0 means unknown.
	HeartbeatInterval time.Duration
	// ExtraRatio, ExtraWindow and ExtraAllowance bound the arrivals at a service beyond the first of each
	// request, over all nodes.
	ExtraRatio     float64
	ExtraWindow    time.Duration
	ExtraAllowance float64
}

// SetMetricsPort changes the port of the metrics address; 0 leaves it unchanged.
func (e *Edge) SetMetricsPort(port int) {
	host, _, err := net.SplitHostPort(e.MetricsAddress)
	if port == 0 || err != nil {
		return
	}
	e.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(port))
}

// RestoreFixed restores the settings that cannot change in a running process and returns the names of those
// that differed. A node with a new data centre or address would announce one value and decide by the other,
// and nothing would listen on a new address.
func (e *Edge) RestoreFixed(running *Edge) (kept []string) {
	for _, one := range []struct {
		name         string
		read, former *string
	}{
		{"node", &e.Node, &running.Node},
		{"data centre", &e.DataCentre, &running.DataCentre},
		{"callers' address", &e.CallerAddress, &running.CallerAddress},
		{"ready address", &e.ReadyAddress, &running.ReadyAddress},
		{"directory address", &e.DirectoryAddress, &running.DirectoryAddress},
		{"operators' address", &e.OperatorAddress, &running.OperatorAddress},
		{"metrics address", &e.MetricsAddress, &running.MetricsAddress},
		{"peer address", &e.PeerAddress, &running.PeerAddress},
		{"peers' listening address", &e.PeerListen, &running.PeerListen},
		{"store address", &e.StoreAddress, &running.StoreAddress},
	} {
		if *one.read != *one.former {
			kept = append(kept, one.name)
			*one.read = *one.former
		}
	}
	if e.Cores != running.Cores {
		kept = append(kept, "cores")
		e.Cores = running.Cores
	}
	return kept
}

// Defaults of optional settings.
const (
	DefaultStopWait    = 6 * time.Second
	DefaultExtraRatio  = 0.1
	DefaultExtraWindow = 10 * time.Second
)

// Validate sets defaults and rejects settings that a node cannot run with.
func (e *Edge) Validate() error {
	for _, one := range []struct{ name, value string }{
		{"the node's name", e.Node},
		{"the address for callers", e.CallerAddress},
		{"the address of the directory", e.DirectoryAddress},
		{"the address of the metadata store", e.StoreAddress},
		{"the address for peers", e.PeerAddress},
	} {
		if one.value == "" {
			return &fault.Error{Code: fault.CodeSettingsInvalid, Message: one.name + " is missing", Fix: "give it in the settings file"}
		}
	}
	if e.ExtraRatio < 0 || e.ExtraRatio > 1 {
		return &fault.Error{Code: fault.CodeSettingsInvalid, Message: fmt.Sprintf("the share of extra arrivals is %g", e.ExtraRatio), Fix: "give a number from 0 to 1"}
	}
	if e.PeerListen == "" {
		e.PeerListen = e.PeerAddress
	}
	if e.StopWait <= 0 {
		e.StopWait = DefaultStopWait
	}
	if e.ExtraWindow <= 0 {
		e.ExtraWindow, e.ExtraRatio = DefaultExtraWindow, DefaultExtraRatio
	}
	return nil
}
