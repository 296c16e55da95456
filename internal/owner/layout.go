package owner

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// refusedByText says why the text forbids to run an ask, or nothing. The
// asker may plan by an older or newer text: after a repartition the same shard
// number stands for other data, and an answer that took it would be mixed of
// two layouts and call itself whole.
func refusedByText(text *catalog.Catalog, bundle core.BundleID, ask *peerpb.ShardAsk) core.Reason {
	service := text.Services[ask.GetService()]
	if service == nil || ask.GetShards() != 0 && int(ask.GetShards()) != len(service.Shards) {
		return core.ReasonLayout
	}
	shard := text.Shard(core.ShardRef{Service: ask.GetService(), Shard: int(ask.GetShard())})
	// A shard that moved to another bundle has its queue on another loop: two
	// queues for one shard would together exceed the replicas' slots.
	if shard == nil || shard.Bundle != bundle {
		return core.ReasonNotOwner
	}
	return core.ReasonNone
}

// refuseRepartitioned ends the queued asks that were made by another layout
// than the text's, before the text's replicas are taken up: else they would be
// sent to replicas that hold other data under the same shard number.
func (l *loop) refuseRepartitioned(text *catalog.Catalog) {
	for _, s := range l.shards {
		for id, waiting := range s.requests {
			w, ok := waiting.work.(*bundleWork)
			if !ok || refusedByText(text, core.BundleID(w.reply.inbound.Envelope.GetBundleRequest().GetBundle()), w.ask) != core.ReasonLayout {
				continue
			}
			s.take(id)
			l.step(s, admit.Withdrawn{ID: id})
			w.repartitioned(len(waiting.tries) > 0)
		}
	}
}

// repartitioned answers an ask of a former layout. One that was sent upstream
// may have run.
func (w *bundleWork) repartitioned(sent bool) {
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
