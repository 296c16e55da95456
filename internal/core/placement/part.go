package placement

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bounds of the places for each slot: one request that runs, and as many queued ones that no slot idles while a node with a
// free place has nothing to send. More would fill the replica's own queue.
const (
	minPlacesPerSlot = 2
	maxPlacesPerSlot = 4
)

// Places returns how many requests all nodes near a replica together may have there. Each of them has at least one.
func Places(slots, near int) int {
	return max(max(slots, 1)*min(max(near, minPlacesPerSlot), maxPlacesPerSlot), near)
}

// farPart is the part of a node far from the replica. Such a node sends most of its requests through a near one; its own
// are retries.
const farPart = 1

// Senders are the nodes that send to a replica, as this node knows them.
type Senders struct {
	Self core.NodeID
	// Near are the nodes in the replica's data centre that take part, Far counts those elsewhere.
	Near []core.NodeID
	Far  int
}

// Part returns this node's part of a replica's places. The near nodes share Places equally, the remainder by hash; any other
// node has farPart. Where no near node is known, the far ones share.
//
// The parts follow from the list of nodes alone, so they are right as soon as it is, and two disjoint views together give out
// at most twice the places.
func Part(replica string, slots int, senders Senders) int {
	near := len(senders.Near)
	places := Places(slots, near)
	rank, isNear := senders.rank(replica)
	switch {
	case isNear && rank < places%near:
		return places/near + 1
	case isNear:
		return places / near
	case near == 0:
		return max(places/max(senders.Far, 1), farPart)
	default:
		return farPart
	}
}

// rank returns the index of this node among the near ones in the hash order for a replica.
func (s Senders) rank(replica string) (rank int, isNear bool) {
	own := nodeHash(replica, s.Self)
	for _, node := range s.Near {
		if node == s.Self {
			isNear = true
		} else if cmp.Or(cmp.Compare(nodeHash(replica, node), own), cmp.Compare(node, s.Self)) < 0 {
			rank++
		}
	}
	return rank, isNear
}

func nodeHash(replica string, node core.NodeID) uint64 {
	return xxhash.Sum64String(replica) ^ core.Mix64(xxhash.Sum64String(string(node)))
}
