package owner

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// refusalReason returns why the configuration does not allow a shard request to run,
// or ReasonNone. The entry may have planned with an older or newer configuration:
// after a repartition the same shard number refers to other data, and the answer
// would mix two layouts and yet count as complete.
func refusalReason(cat *catalog.Catalog, bundle core.BundleID, ask *peerpb.ShardAsk) core.Reason {
	service := cat.Services[ask.GetService()]
	if service == nil || ask.GetShards() != 0 && int(ask.GetShards()) != len(service.Shards) {
		return core.ReasonLayout
	}
	shard := cat.Shard(core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())})
	// A shard that moved to another bundle may be queued on another loop. Two queues
	// of one shard would together exceed the slots of the replicas.
	if shard == nil || shard.Bundle != bundle {
		return core.ReasonNotOwner
	}
	return core.ReasonNone
}

// refuseRepartitioned ends the queued shard requests that were planned with another
// layout than the configuration's. It must run before the new replicas are applied:
// otherwise the requests would be sent to replicas that hold other data under the
// same shard number.
func (l *loop) refuseRepartitioned(cat *catalog.Catalog) {
	for _, s := range l.shards {
		for id, waiting := range s.requests {
			w, ok := waiting.work.(*bundleWork)
			if !ok || refusalReason(cat, core.BundleID(w.reply.inbound.Envelope.GetBundleRequest().GetBundle()), w.ask) != core.ReasonLayout {
				continue
			}
			s.remove(id)
			l.step(s, admit.Withdrawn{ID: id})
			w.answerRepartitioned(len(waiting.attempts) > 0)
		}
	}
}

// answerRepartitioned answers a shard request of an earlier layout. If it was sent
// upstream, it may have run.
func (w *bundleWork) answerRepartitioned(sent bool) {
	outcome := core.NotRun
	if sent {
		outcome = core.Unknown
	}
	w.reply.answer(&peerpb.Part{
		Service: w.ask.GetService(),
		Shard:   w.ask.GetShard(),
		Outcome: uint32(outcome),
		Reason:  string(core.ReasonLayout),
	})
}
