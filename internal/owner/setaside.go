package owner

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// The owner sees the ends of replicas before any other node. It judges a request by its own ledger when it receives it:
// until its update arrives, other entries and homes go on sending it requests that it knows to be set aside.

// setAsideAsks returns the asks of a bundle whose query is set aside, as a whole, at their service or at their shard.
func (l *loop) setAsideAsks(reply *bundleReply, asks []*peerpb.ShardAsk) map[*peerpb.ShardAsk]bool {
	if l.options.Assessor == nil || l.options.Assessor.Empty() {
		return nil
	}
	setAside := map[*peerpb.ShardAsk]bool{}
	closure, _, _ := (&bundleWork{reply: reply}).closureIdentity()
	whole := l.options.Assessor.Assess(closure, nil).Request == corequarantine.SetAside
	byService := map[string][]*peerpb.ShardAsk{}
	for _, ask := range asks {
		byService[ask.GetService()] = append(byService[ask.GetService()], ask)
	}
	for _, list := range byService {
		w := &bundleWork{reply: reply, ask: list[0]}
		var shards []string
		for _, ask := range list {
			shards = append(shards, core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())}.String())
		}
		assessment := l.options.Assessor.Assess(w.identity, shards)
		for i, ask := range list {
			setAside[ask] = whole || assessment.IsSetAside(i)
		}
	}
	return setAside
}

// isSetAside reports whether a submit is set aside, as a whole or at its shard.
func (l *loop) isSetAside(w *submitWork) bool {
	if l.options.Assessor == nil || l.options.Assessor.Empty() {
		return false
	}
	return l.options.Assessor.Assess(w.identity, []string{w.ref.String()}).IsSetAside(0)
}
