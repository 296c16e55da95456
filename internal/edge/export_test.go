package edge

// MarkOverloaded spreads once that this node asks for relief, as setRelief does while it is overloaded.
func (n *Node) MarkOverloaded() { n.members.MarkDraining(n.settings.Load().CallerAddress, true) }
