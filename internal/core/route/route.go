// Package route decides which node owns a bundle of shards, by rendezvous hashing over the live nodes of a view.
// Nodes of the bundle's data centre come first.
package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Node is a live node of a view.
type Node struct {
	ID         core.NodeID
	DataCentre string
	// PeerAddress is the UDP address for other nodes; CallerAddress and
	// OperatorAddress are the TCP addresses for callers and operators.
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	// Weight is the capacity of the VM in thousandths of a core, 0 if unknown.
	Weight uint32
}

// View is an immutable set of live nodes. Nodes with equal views agree on every owner. Unequal views differ in ID.
type View struct {
	nodes []Node
	// hashes holds the hashes of the nodes' ids, in the order of nodes.
	hashes []uint64
	// byDataCentre holds the indexes in nodes of each data centre's nodes.
	byDataCentre map[string][]int
	id           uint64
}

// NewView returns a view of the given nodes, which may be in any order.
func NewView(nodes []Node) *View {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	hashes := make([]uint64, 0, len(sorted))
	byDataCentre := map[string][]int{}
	digest := xxhash.New()
	for i, node := range sorted {
		_, _ = digest.WriteString(string(node.ID))
		_, _ = digest.WriteString(" ")
		_, _ = digest.WriteString(node.DataCentre)
		_, _ = digest.WriteString("\n")
		byDataCentre[node.DataCentre] = append(byDataCentre[node.DataCentre], i)
		hashes = append(hashes, xxhash.Sum64String(string(node.ID)))
	}
	return &View{nodes: sorted, hashes: hashes, byDataCentre: byDataCentre, id: digest.Sum64()}
}

// ID identifies the set of nodes and their data byDataCentre.
func (v *View) ID() uint64 { return v.id }

// Nodes returns the nodes by ascending id. The slice must not be modified.
func (v *View) Nodes() []Node { return v.nodes }

// Node returns the node with the given id.
func (v *View) Node(id core.NodeID) (Node, bool) {
	i := sort.Search(len(v.nodes), func(i int) bool { return v.nodes[i].ID >= id })
	if i < len(v.nodes) && v.nodes[i].ID == id {
		return v.nodes[i], true
	}
	return Node{}, false
}

// Rank returns the node with the given rank in the bundle's order: 0 is the owner, 1 the node that takes over if
// the owner is lost, and so on. It returns false if the view has no such rank.
func (v *View) Rank(bundle core.BundleID, dataCentre string, rank int) (Node, bool) {
	if rank < 0 || rank >= len(v.nodes) {
		return Node{}, false
	}
	seed := core.Mix64(uint64(bundle))
	local := v.byDataCentre[dataCentre]
	if rank < len(local) {
		return v.nodes[v.nthByScore(seed, local, rank)], true
	}
	var others []int
	for i := range v.nodes {
		if v.nodes[i].DataCentre != dataCentre {
			others = append(others, i)
		}
	}
	return v.nodes[v.nthByScore(seed, others, rank-len(local))], true
}

// RankOf returns the number of nodes that precede the given one in the bundle's order. The node itself need not be in
// the view: a leaving node still determines whether it is the owner in the views of nodes that have not yet received
// the announcement that it leaves.
func (v *View) RankOf(bundle core.BundleID, dataCentre string, node Node) int {
	seed := core.Mix64(uint64(bundle))
	own := score(node, bundle)
	local := node.DataCentre == dataCentre
	rank := 0
	for i := range v.nodes {
		other := &v.nodes[i]
		if (other.DataCentre == dataCentre) != local || other.ID == node.ID {
			continue
		}
		nodeScore := core.Mix64(v.hashes[i] ^ seed)
		if nodeScore > own || nodeScore == own && other.ID < node.ID {
			rank++
		}
	}
	if !local {
		rank += len(v.byDataCentre[dataCentre])
	}
	return rank
}

// First returns which of two nodes precedes the other in a bundle's order.
func First(a, b Node, bundle core.BundleID, dataCentre string) Node {
	localA := a.DataCentre == dataCentre
	localB := b.DataCentre == dataCentre
	scoreA := score(a, bundle)
	scoreB := score(b, bundle)
	switch {
	case localA != localB:
		return choose(localA, a, b)
	case scoreA != scoreB:
		return choose(scoreA > scoreB, a, b)
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

func score(node Node, bundle core.BundleID) uint64 {
	return core.Mix64(xxhash.Sum64String(string(node.ID)) ^ core.Mix64(uint64(bundle)))
}

// nthByScore returns the index of the node with the given rank among some nodes, by descending score. Ranks are
// low in practice, so that one pass for each rank costs less than a sort and needs no allocation.
func (v *View) nthByScore(seed uint64, among []int, rank int) int {
	last := -1
	var lastScore uint64
	for range rank + 1 {
		best := -1
		var bestScore uint64
		for _, i := range among {
			nodeScore := core.Mix64(v.hashes[i] ^ seed)
			passed := last >= 0 && !precedes(lastScore, last, nodeScore, i)
			if !passed && (best < 0 || precedes(nodeScore, i, bestScore, best)) {
				best, bestScore = i, nodeScore
			}
		}
		last, lastScore = best, bestScore
	}
	return last
}

// precedes reports whether the first node precedes the second in a bundle's order.
func precedes(scoreA uint64, a int, scoreB uint64, b int) bool {
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}
