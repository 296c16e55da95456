package outlook

// UsableConnectionShare is the share of a replica's connection limit that all nodes use together. A replica
// counts the connections of processes that lost power until its idle timeout closes them many seconds
// later; with half of the limit free, the restarted processes can connect immediately.
const UsableConnectionShare = 0.45

// ConnectionsPerNode returns how many connections a node may hold to a replica, given the replica's limit for all
// callers, the number of nodes that send to it and the number of those that are near, in its data centre. Near nodes
// get more, since they also carry requests of the others; remote nodes use theirs for retries.
func ConnectionsPerNode(limit, nodes, near int, isNear bool) int {
	usable := int(UsableConnectionShare * float64(limit))
	far := max(usable/(2*max(nodes, 1)), 1)
	if !isNear || near == 0 {
		return far
	}
	return max((usable-far*(nodes-near))/near, 1)
}

// ConnectionShare is what a node's part of the connections to a replica depends on.
type ConnectionShare struct {
	// Limit is the replica's limit for all callers.
	Limit int
	// Entries counts the nodes that callers are sent to, NearEntries those of them in the replica's data centre.
	Entries, NearEntries int
	// IsEntry is set if callers are sent to this node, IsNear if it is in the replica's data centre.
	IsEntry, IsNear bool
	// ViewIncomplete is set while this node may not know all entries yet.
	ViewIncomplete bool
}

const (
	// connectionsOfOthers is what a node that callers are not sent to may hold to a replica, for the few requests that
	// reach it. It keeps none that is idle.
	connectionsOfOthers = 1
	// assumedEntries is the number of entries that a node assumes while it may not know all.
	assumedEntries = 8
)

// Connections returns how many connections the node may hold.
func (s ConnectionShare) Connections() int {
	if !s.IsEntry {
		return connectionsOfOthers
	}
	connections := ConnectionsPerNode(s.Limit, s.Entries, s.NearEntries, s.IsNear)
	if s.ViewIncomplete {
		return min(connections, max(int(UsableConnectionShare*float64(s.Limit))/assumedEntries, 1))
	}
	return connections
}
