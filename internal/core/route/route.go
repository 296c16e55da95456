// Package route decides which node owns a bundle of shards: rendezvous hashing
// over the nodes believed to be live, nodes of the bundle's data centre first.
package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Node is one live node as the routing view knows it.
type Node struct {
	ID         core.NodeID
	DataCentre string
	// PeerAddress is the UDP address for other nodes, CallerAddress the TCP
	// address for callers.
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
}

// View is an immutable set of live nodes. Two nodes with equal views agree on
// every owner; ID tells unequal views apart.
type View struct {
	nodes []Node
	id    uint64
}

// NewView makes a view of the given nodes, in any order.
func NewView(nodes []Node) *View {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	digest := xxhash.New()
	for _, node := range sorted {
		_, _ = digest.WriteString(string(node.ID))
		_, _ = digest.WriteString("\n")
	}
	return &View{nodes: sorted, id: digest.Sum64()}
}

// ID identifies the set of nodes.
func (v *View) ID() uint64 { return v.id }

// Nodes returns the nodes by ascending id. The slice must not be changed.
func (v *View) Nodes() []Node { return v.nodes }

// Node finds a node by id.
func (v *View) Node(id core.NodeID) (Node, bool) {
	i := sort.Search(len(v.nodes), func(i int) bool { return v.nodes[i].ID >= id })
	if i < len(v.nodes) && v.nodes[i].ID == id {
		return v.nodes[i], true
	}
	return Node{}, false
}

// Rank returns the node at the given place of the bundle's order: 0 is the
// owner, 1 the node that takes over when the owner is lost, and so on. It
// reports false when the view has no such place.
func (v *View) Rank(bundle core.BundleID, dataCentre string, rank int) (Node, bool) {
	if rank < 0 || rank >= len(v.nodes) {
		return Node{}, false
	}
	if rank == 0 {
		return v.first(bundle, dataCentre), true
	}
	return v.order(bundle, dataCentre)[rank], true
}

func (v *View) first(bundle core.BundleID, dataCentre string) Node {
	best := 0
	bestWeight := weight(v.nodes[0].ID, bundle)
	for i := 1; i < len(v.nodes); i++ {
		w := weight(v.nodes[i].ID, bundle)
		if before(v.nodes[i], w, v.nodes[best], bestWeight, dataCentre) {
			best = i
			bestWeight = w
		}
	}
	return v.nodes[best]
}

func (v *View) order(bundle core.BundleID, dataCentre string) []Node {
	weights := make(map[core.NodeID]uint64, len(v.nodes))
	for _, node := range v.nodes {
		weights[node.ID] = weight(node.ID, bundle)
	}
	ordered := append([]Node(nil), v.nodes...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		return before(a, weights[a.ID], b, weights[b.ID], dataCentre)
	})
	return ordered
}

// before reports whether a precedes b in a bundle's order.
func before(a Node, weightA uint64, b Node, weightB uint64, dataCentre string) bool {
	localA := a.DataCentre == dataCentre
	localB := b.DataCentre == dataCentre
	if localA != localB {
		return localA
	}
	if weightA != weightB {
		return weightA > weightB
	}
	return a.ID < b.ID
}

func weight(node core.NodeID, bundle core.BundleID) uint64 {
	var buffer [64]byte
	key := append(buffer[:0], node...)
	key = append(key, '#')
	key = strconv.AppendUint(key, uint64(bundle), 10)
	return xxhash.Sum64(key)
}
