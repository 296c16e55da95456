package member

// listed takes over the VM list. A node that it no longer shows stays as long
// as it answers.
func (m *Machine) listed(e VMList) {
	first := !m.started
	m.started = true
	for _, p := range m.peers {
		p.listed = false
		p.listedLeaving = false
	}
	trusted := leavingTrusted(e.Nodes)
	for _, written := range e.Nodes {
		if written.ID == m.config.Self.ID {
			// Others reach this node by the listed addresses, which its own
			// listeners may not know.
			m.config.Self = written.Node
			m.listedLeaving = written.Leaving && trusted
			continue
		}
		p := m.peer(written.Node)
		p.bare = written.DataCentre == ""
		if !p.bare || p.node.DataCentre == "" {
			p.node = written.Node
		}
		p.listed = true
		p.listedLeaving = written.Leaving && trusted
		p.presumed = p.presumed || first
	}
	m.changed = true
}

// leavingTrusted rejects a list that shows more than half of the nodes leaving:
// a list that is wrong must not stop the whole fleet.
func leavingTrusted(nodes []ListedNode) bool {
	leaving := 0
	for _, node := range nodes {
		if node.Leaving {
			leaving++
		}
	}
	return leaving*2 <= len(nodes)
}
