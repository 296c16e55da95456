package app

import "github.com/pistachiopier/pistachiopier/internal/confwatch"

func (n *Node) newConfigWatcher() *confwatch.Watcher {
	return confwatch.New(confwatch.Options{
		Self:       n.identity.Node,
		DataCentre: n.settings.DataCentre,
		Service:    n.platform,
		Belief:     n.belief,
		Peers:      n.pool,
		Now:        n.now,
		Log:        n.log,
		Problems:   n.problems,
		Metrics:    n.metrics,
		Seed:       n.identity.Incarnation,
	})
}
