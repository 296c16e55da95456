// Package settings is what one process of the forwarding tier is told at its
// start and at each reload.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Edge are the settings of one node.
type Edge struct {
	// Node is the VM's name, for people; nodes know each other by PeerAddress.
	Node       string
	DataCentre string
	// Regions names the region of each data centre; those not named are in one.
	Regions map[string]string
	// CallerAddress takes callers' requests, ReadyAddress says whether it does,
	// DirectoryAddress tells callers which addresses to use.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	OperatorAddress  string
	MetricsAddress   string
	// PeerAddress is the UDP address for other nodes. PeerListen is where this node listens
	// for them when something on the way forwards to another port; else it is PeerAddress.
	PeerAddress string
	PeerListen  string
	// Seeds are peer addresses of a few nodes; they may be stale.
	Seeds        []string
	StoreAddress string
	// Cores are what the VM has; 0 is not known.
	Cores float64
	// StopWait is the time from the signal to stop until the process is killed.
	StopWait time.Duration
	// ConfigApplyLimit is the time within which an acknowledged configuration is to
	// be in force.
	ConfigApplyLimit time.Duration
	// HeartbeatInterval is the pause between two reports of a replica; 0 is not known.
	HeartbeatInterval time.Duration
	// ExtraRatio, ExtraWindow and ExtraAllowance bound the arrivals at a service
	// beyond the first of each request, over all nodes.
	ExtraRatio     float64
	ExtraWindow    time.Duration
	ExtraAllowance float64
}

// SetMetricsPort moves the metrics to a fixed port; 0 leaves them where they are.
func (e *Edge) SetMetricsPort(port int) {
	host, _, err := net.SplitHostPort(e.MetricsAddress)
	if port == 0 || err != nil {
		return
	}
	e.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(port))
}

// RestoreFixed puts back what a running process cannot change in place, and names what differed. A node that
// took another data centre or address for its own would tell other nodes one thing and
// decide by another, and a changed address would be one that nobody listens on.
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

// Defaults of settings that may be missing.
const (
	DefaultStopWait    = 6 * time.Second
	DefaultExtraRatio  = 0.1
	DefaultExtraWindow = 10 * time.Second
)

// Validate fills defaults and refuses settings that a node cannot run with.
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
