package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	. "github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

const drainingAddress = "10.9.0.1:80"

func startingNode(w *network, i int) *node {
	return w.addWith(Config{Self: testNode(i), Incarnation: 1_790_000_000_000_000_001, AnnounceStart: true})
}

// servingNetwork returns a network of nodes that have joined and know that an upstream is draining.
func servingNetwork(count int) *network {
	w := emptyNetwork(11)
	for i := range count {
		startingNode(w, i).revision = 1
	}
	w.listAll(w.nodes)
	w.run(settle)
	w.step(w.nodes[0], DrainSeen{Address: drainingAddress, Draining: true})
	w.run(settle)
	return w
}

func viewsWith(n *node, nodes []*node) int {
	count := 0
	for _, other := range nodes {
		if _, known := other.view.Node(n.ID); known && other != n {
			count++
		}
	}
	return count
}

// Guards against routing to a node that has no configuration yet, or does not know which upstreams are draining.
func TestAStartingNodeIsNotRoutedToBeforeItCanServe(t *testing.T) {
	for name, listed := range map[string]bool{"in the VM list": true, "not listed yet": false} {
		t.Run(name, func(t *testing.T) {
			w := servingNetwork(8)
			joining := startingNode(w, 8)
			if listed {
				w.listAll(w.nodes)
			} else {
				w.step(joining, VMList{Nodes: listedNodes(w.nodes[:8])})
			}
			w.run(settle)
			require.Zero(t, viewsWith(joining, w.nodes), "it has no configuration")
			require.Equal(t, []string{drainingAddress}, joining.drains, "it hears of the drain meanwhile")
			joining.revision = 1
			require.Less(t, w.runUntil(settle, w.allViews(9, w.nodes)), 3*time.Second)
		})
	}
}

// Guards against a node that has its configuration at once and joins before it knows which upstreams are draining.
func TestANodeJoinsWithTheDrainsKnown(t *testing.T) {
	for seed := range uint64(20) {
		w := servingNetwork(8)
		w.random.Uint64()
		for range seed {
			w.random.Uint64()
		}
		joining := startingNode(w, 8)
		joining.revision = 1
		w.listAll(w.nodes)
		w.runUntil(settle, func() bool { return viewsWith(joining, w.nodes) > 0 })
		require.Equal(t, []string{drainingAddress}, joining.drains)
	}
}

// Guards against a fleet that waits for itself: when all nodes start at once, none is known to serve.
func TestNodesThatStartTogetherRouteToEachOther(t *testing.T) {
	w := emptyNetwork(12)
	for i := range 8 {
		startingNode(w, i)
	}
	for i, n := range w.nodes {
		w.step(n, VMList{Nodes: listedNodes(w.nodes[:i+1])})
	}
	require.Less(t, w.runUntil(settle, w.allViews(8, w.nodes)), 3*time.Second)
	for _, n := range w.nodes {
		n.revision = 1
	}
	w.run(settle)
	require.True(t, w.allViews(8, w.nodes)())
	require.False(t, slices.ContainsFunc(w.nodes, func(n *node) bool { return n.split }))
}

func listedNodes(nodes []*node) []ListedNode {
	var listed []ListedNode
	for _, n := range nodes {
		listed = append(listed, ListedNode{Node: route.Node(n.Node)})
	}
	return listed
}
