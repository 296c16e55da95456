// Package route decides which node owns a bundle of shards: rendezvous hashing
// over the nodes believed to be live, nodes of the bundle's data centre first.
package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Node is one live node as the routing view knows it.
type Node struct {
	ID         core.NodeID
	DataCentre string
	// PeerAddress is the UDP address for other nodes, CallerAddress and
	// OperatorAddress the TCP addresses for callers and operators.
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	// Weight is what the VM can do, in thousandths of a core; 0 is not known.
	Weight uint32
}

// View is an immutable set of live nodes. Two nodes with equal views agree on
// every owner; ID tells unequal views apart.
type View struct {
	nodes []Node
	// hashes are the hashes of the nodes' ids, in the order of nodes.
	hashes []uint64
	// centres lists the places in nodes of each data centre's nodes.
	centres map[string][]int
	id      uint64
}

// NewView makes a view of the given nodes, in any order.
func NewView(nodes []Node) *View {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	hashes := make([]uint64, 0, len(sorted))
	centres := map[string][]int{}
	digest := xxhash.New()
	for i, node := range sorted {
		_, _ = digest.WriteString(string(node.ID))
		_, _ = digest.WriteString(" ")
		_, _ = digest.WriteString(node.DataCentre)
		_, _ = digest.WriteString("\n")
		centres[node.DataCentre] = append(centres[node.DataCentre], i)
		hashes = append(hashes, xxhash.Sum64String(string(node.ID)))
	}
	return &View{nodes: sorted, hashes: hashes, centres: centres, id: digest.Sum64()}
}

// ID identifies the set of nodes and where they are.
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
	seed := core.Mix64(uint64(bundle))
	local := v.centres[dataCentre]
	if rank < len(local) {
		return v.nodes[v.nth(seed, local, rank)], true
	}
	var others []int
	for i := range v.nodes {
		if v.nodes[i].DataCentre != dataCentre {
			others = append(others, i)
		}
	}
	return v.nodes[v.nth(seed, others, rank-len(local))], true
}

// RankOf counts the nodes that precede the given one in the bundle's order. The
// node itself need not be in the view: one that is leaving still finds out
// whether it is the owner by the views of those that have not heard of it.
func (v *View) RankOf(bundle core.BundleID, dataCentre string, node Node) int {
	seed := core.Mix64(uint64(bundle))
	own := nodeWeight(node, bundle)
	local := node.DataCentre == dataCentre
	place := 0
	for i := range v.nodes {
		other := &v.nodes[i]
		if (other.DataCentre == dataCentre) != local || other.ID == node.ID {
			continue
		}
		weight := core.Mix64(v.hashes[i] ^ seed)
		if weight > own || weight == own && other.ID < node.ID {
			place++
		}
	}
	if !local {
		place += len(v.centres[dataCentre])
	}
	return place
}

// First returns the one of two nodes that comes first in a bundle's order.
func First(a, b Node, bundle core.BundleID, dataCentre string) Node {
	localA := a.DataCentre == dataCentre
	localB := b.DataCentre == dataCentre
	weightA := nodeWeight(a, bundle)
	weightB := nodeWeight(b, bundle)
	switch {
	case localA != localB:
		return choose(localA, a, b)
	case weightA != weightB:
		return choose(weightA > weightB, a, b)
	default:
		return choose(a.ID < b.ID, a, b)
	}
}

func choose(first bool, a, b Node) Node {
	if first {
		return a
	}
	return b
}

func nodeWeight(node Node, bundle core.BundleID) uint64 {
	return core.Mix64(xxhash.Sum64String(string(node.ID)) ^ core.Mix64(uint64(bundle)))
}

// nth returns the node at a place among some nodes, by falling weight. Places
// asked for are low, so that a pass for each costs less than a sort, and nothing
// is allocated.
func (v *View) nth(seed uint64, among []int, place int) int {
	last := -1
	var lastWeight uint64
	for range place + 1 {
		best := -1
		var bestWeight uint64
		for _, i := range among {
			weight := core.Mix64(v.hashes[i] ^ seed)
			taken := last >= 0 && !before(lastWeight, last, weight, i)
			if !taken && (best < 0 || before(weight, i, bestWeight, best)) {
				best, bestWeight = i, weight
			}
		}
		last, lastWeight = best, bestWeight
	}
	return last
}

// before reports whether the first node precedes the second in a bundle's order.
func before(weightA uint64, a int, weightB uint64, b int) bool {
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}
