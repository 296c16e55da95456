package loadmodel

// isFull reports whether requests are held because this node has enough of them in flight at each replica.
func (n *node) isFull() bool {
	limit := n.simulation.options.HoldAbove
	if limit == 0 {
		return false
	}
	for _, u := range n.simulation.upstreams {
		if !u.down && n.inFlight[u] < limit {
			return false
		}
	}
	return true
}

// countEnd counts the end of a request at a replica and releases a held one.
func (n *node) countEnd(u *upstream) {
	n.inFlight[u]--
	if len(n.held) > 0 && !n.isFull() {
		begin := n.held[0]
		n.held = n.held[1:]
		begin()
	}
}
