package home

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// refuseSetAside returns the end of a send that must not be made because the request is set aside, or nil. The home decides
// this and not the entry, because its ledger knows whether an earlier send of the same key may have run.
func (l *loop) refuseSetAside(a once.Send, shard core.ShardRef) *once.SendEnded {
	if l.options.Assessor == nil || l.options.Assessor.Empty() {
		return nil
	}
	assessment := l.options.Assessor.Assess(func() corequarantine.Identity {
		return corequarantine.Submit(a.Service, a.Customer, a.Payload)
	}, []string{shard.String()})
	if !assessment.IsSetAside(0) {
		return nil
	}
	return new(setAsideEnd(a))
}

// setAsideEnd returns the end of a send that this node or the owner refused because the request is set aside.
func setAsideEnd(a once.Send) once.SendEnded {
	return once.SendEnded{
		Key: a.Key, Send: a.Send, Outcome: core.NotRun, Code: fault.CodeSetAside,
		Message: "replicas ended each time this request ran", RetryAfter: corequarantine.RetryAfter,
	}
}
