package outlook

// UsableConnectionShare is the part of a replica's connections that all nodes use together. A
// replica counts the connections of processes that lost power until it closes them for
// being idle, many seconds later: with half of them free, the processes that start again
// can connect at once.
const UsableConnectionShare = 0.45

// ConnectionsPerNode is how many connections a node may hold to a replica that takes so many of all
// callers, where so many nodes send to it and some of them are next to it. These carry the
// requests of the others too; those further away retry.
func ConnectionsPerNode(limit, nodes, near int, isNear bool) int {
	usable := int(UsableConnectionShare * float64(limit))
	far := max(usable/(2*max(nodes, 1)), 1)
	if !isNear || near == 0 {
		return far
	}
	return max((usable-far*(nodes-near))/near, 1)
}
