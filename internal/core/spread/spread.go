// Package spread shares the sends of one question among the nodes of a data centre.
//
// The failure: a question of 180 or 450 shards is sent by one node. Each send takes it SendTime of
// a core, so that a node with 0.8 of one needs 45 to 110 ms for the sends alone, and the quick questions
// of a large deployment, 4 ms of work at each replica, come at 40 ms for an aim of 50. Shared among the
// nodes next to the replicas, most of which are idle, they take each of these a few milliseconds.
package spread

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// SendTime is the processor time of one send to a replica, request and answer, on a whole
	// core: BenchmarkSend of package replicaconn, and the edge's bookkeeping.
	SendTime = 200 * time.Microsecond
	// longest is how long a node's sends of one question may take it before they are shared. Sharing
	// takes two messages and their flushing, about 5 ms; at twice that it pays.
	longest = 12 * time.Millisecond
	// milli is the number of thousandths of a core in one.
	milli = 1000
	// fewHelpers is the number below which each helper is a group of its own, and the node
	// itself takes a share.
	fewHelpers = 6
	// groupNodes is how many nodes a group has at least, on average: each holds connections to
	// the replicas of its group, and the loss of one must not leave the group empty.
	groupNodes = 3
)

// From is the number of sends from which on a node with so many thousandths of a core shares
// them; 0 thousandths are not known and share nothing.
func From(weight uint32) int {
	if weight == 0 {
		return 0
	}
	return int(longest*time.Duration(weight)/(SendTime*milli)) + 1
}

// Team is the helpers of a node in its data centre, in groups. All nodes that see the same helpers
// make the same groups, and a helper that comes or goes changes its own group only, as long as
// their number stays between two powers of two: connections to replicas are kept by group.
type Team struct {
	// Groups lists the helpers by group; none is empty.
	Groups [][]core.NodeID
	// Own is set when the node itself takes a share beside the groups.
	Own bool
}

// NewTeam makes groups of helpers, listed in an order that all nodes agree on.
func NewTeam(helpers []core.NodeID) Team {
	if len(helpers) < fewHelpers {
		team := Team{Own: true}
		for _, one := range helpers {
			team.Groups = append(team.Groups, []core.NodeID{one})
		}
		return team
	}
	groups := make([][]core.NodeID, 1<<(bits.Len(uint(len(helpers)/groupNodes))-1))
	for _, one := range helpers {
		place := hash(string(one)) % uint64(len(groups))
		groups[place] = append(groups[place], one)
	}
	for place := range groups {
		if len(groups[place]) == 0 {
			// It borrows a helper, so that no share is lost.
			groups[place] = []core.NodeID{helpers[place%len(helpers)]}
		}
	}
	return Team{Groups: groups}
}

// Shares lists for each group the places of the services that it takes, and as the last one those
// that the node keeps.
func (t Team) Shares(services []string) [][]int {
	shares := make([][]int, len(t.Groups)+1)
	for i, service := range services {
		place := len(t.Groups)
		switch {
		case t.Own:
			// Each helper is connected to all replicas, so that equal shares are best.
			place = i % len(shares)
		case len(t.Groups) > 0:
			place = int(hash(service) % uint64(len(t.Groups)))
		}
		shares[place] = append(shares[place], i)
	}
	return shares
}

// Holders is how many nodes hold connections to one replica.
func (t Team) Holders() int {
	if t.Own {
		return len(t.Groups) + 1
	}
	most := 1
	for _, group := range t.Groups {
		most = max(most, len(group))
	}
	return most
}

func hash(text string) uint64 { return core.Mix64(xxhash.Sum64String(text)) }
