package crowd_test

import (
	"strings"
	"testing"
)

// otherPorts are the listeners besides the callers'.
var otherPorts = map[string]int{"directory": directoryPort, "readiness check": readyPort, "metrics": metricsPort}

// fewDescriptors is the VM of tests whose crowds take more connections than the process may have descriptors.
func fewDescriptors() vm { return vm{memoryMB: smallestMemoryMB, descriptors: 400} }

// connectionCrowd is more than the descriptors of fewDescriptors.
const connectionCrowd = 600

// Guards against silent connections that take all descriptors: the node then reaches neither replicas nor the store.
func TestSilentConnections(t *testing.T) {
	n := startNode(t, fewDescriptors())
	sendCrowd(t, n.address(callerPort), connectionCrowd, text("")).awaitDone()
	n.requireWithinVM()
}

// Guards against idle connections that take all descriptors.
func TestIdleConnections(t *testing.T) {
	n := startNode(t, fewDescriptors())
	sendCrowd(t, n.address(callerPort), connectionCrowd, text(head("GET", plainPath, "\r\n"))).awaitDone()
	n.requireWithinVM()
}

// Guards against requests in work that take all descriptors.
func TestConnectionsWithHeldRequests(t *testing.T) {
	n := startNode(t, fewDescriptors())
	sendCrowd(t, n.address(callerPort), connectionCrowd, text(head("GET", heldPlainPath, "\r\n"))).awaitDone()
	n.requireWithinVM()
}

// Guards against silent connections to the other listeners that take all descriptors.
func TestSilentConnectionsToOtherListeners(t *testing.T) {
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, fewDescriptors())
			sendCrowd(t, n.address(port), connectionCrowd, text("")).awaitDone()
			n.requireWithinVM()
		})
	}
}

// Guards against waiting for ever for callers that send one request after the other and read no answer.
func TestUnreadAnswersOfPipelinedRequests(t *testing.T) {
	const (
		crowd    = 20
		requests = 100_000
	)
	n := startNode(t, smallestVM())
	calm := n.descriptors()
	sendCrowd(t, n.address(callerPort), crowd, text(strings.Repeat(head("GET", "/nowhere", "\r\n"), requests)))
	n.requireDescriptorsBack(calm)
	n.requireWithinVM()
}

// Guards against waiting for ever for clients that ask and do not read.
func TestUnreadAnswersOfOtherListeners(t *testing.T) {
	const (
		crowd    = 20
		requests = 100_000
	)
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, smallestVM())
			calm := n.descriptors()
			sendCrowd(t, n.address(port), crowd, text(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", requests)))
			n.requireDescriptorsBack(calm)
			n.requireWithinVM()
		})
	}
}
