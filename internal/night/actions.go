package night

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// act executes an action; some actions have an event as their immediate result.
func (p *Prober) act(ctx context.Context, action night.Action) night.Event {
	switch a := action.(type) {
	case night.StartProbe:
		return p.startProbe(ctx, a.Target)
	case night.ReplicaDown:
		p.options.Problems.Report(observe.KindReplicaDown, replicaSubject(a.Target), p.failureDetails[a.Target])
		p.logReplica(a.Target, "replica_down")
	case night.ReplicaUp:
		p.options.Problems.Clear(observe.KindReplicaDown, replicaSubject(a.Target))
		p.logReplica(a.Target, "replica_up")
	case night.ShardStalled:
		p.options.Problems.Report(observe.KindStalledService, a.Ref.String(), "no replica of this shard answers; each is listed as "+string(observe.KindReplicaDown))
	case night.ShardRecovered:
		p.options.Problems.Clear(observe.KindStalledService, a.Ref.String())
	case night.WakeAt:
		p.wakeAt = a.At
	}
	return nil
}

func replicaSubject(target night.Target) string {
	return observe.ReplicaSubject(target.Ref, target.Address)
}

func (p *Prober) logReplica(target night.Target, event string) {
	p.options.Log.WithFields(logrus.Fields{"event": event, "shard": target.Ref.String(), "address": target.Address, "detail": p.failureDetails[target]}).Warn("idle replica changed state")
}
