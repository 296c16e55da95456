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
