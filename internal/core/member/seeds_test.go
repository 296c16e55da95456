package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	. "github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// There is no VM list: 76 nodes start within moments of each other and know the bare peer
// addresses of three. All must soon know all, with their data centres and the addresses for
// callers, or callers are sent to a part of the fleet only.
func TestSeedsAloneBringAFleetTogether(t *testing.T) {
	const count, repairs = 76, 3
	w := &mesh{random: rand.New(rand.NewPCG(5, 1)), byID: map[core.NodeID]*node{}, replies: map[Ticket]func(*Message){}}
	for i := range count {
		w.addWith(Config{Self: place(i), Incarnation: 1, MaxRepairs: repairs})
	}
	for _, n := range w.nodes {
		var seeds []ListedNode
		for _, seed := range w.nodes[:3] {
			if seed != n {
				seeds = append(seeds, ListedNode{Node: route.Node{ID: seed.ID, PeerAddress: seed.PeerAddress}})
			}
		}
		w.step(n, Listed{Nodes: seeds})
	}
	placed := func() bool {
		for _, n := range w.nodes {
			for _, one := range n.view.Nodes() {
				if one.CallerAddress == "" || one.DataCentre == "" {
					return false
				}
			}
		}
		return w.views(count, w.nodes...) == count
	}
	require.Less(t, w.runUntil(30*time.Second, placed), 10*time.Second)
	kb := w.bytes / count / 1024
	w.run(10 * time.Second)
	require.True(t, placed(), "nobody is lost again")
	require.Less(t, kb, 60, "kilobytes a node until all know all")
}
