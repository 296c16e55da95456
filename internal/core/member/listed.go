package member

// vmListRead applies the VM list. A node missing from it stays known as long as it answers.
func (m *Machine) vmListRead(e VMList) {
	first := !m.started
	m.started = true
	for _, p := range m.peers {
		p.listed = false
		p.listedLeaving = false
	}
	plausible := plausibleLeaving(e.Nodes)
	for _, node := range e.Nodes {
		if node.ID == m.config.Self.ID {
			// Other nodes reach this node by the listed addresses, which its own listeners may not
			// know.
			m.config.Self = node.Node
			m.listedLeaving = node.Leaving && plausible
			continue
		}
		p := m.peer(node.Node)
		p.addressOnly = node.DataCentre == ""
		if !p.addressOnly || p.node.DataCentre == "" {
			p.node = node.Node
		}
		p.listed = true
		p.listedLeaving = node.Leaving && plausible
		p.presumedLive = p.presumedLive || first
	}
	m.changed = true
}

// plausibleLeaving rejects a list that shows more than half of the nodes leaving: a wrong list must
// not stop the whole fleet.
func plausibleLeaving(nodes []ListedNode) bool {
	leaving := 0
	for _, node := range nodes {
		if node.Leaving {
			leaving++
		}
	}
	return leaving*2 <= len(nodes)
}
