package night

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/night"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const decimal = 10

// startProbe starts a probe unless the replica has answered a real request within the last sweep, or drains: whether it
// does is read right before the send, because the list of targets is older.
func (p *Prober) startProbe(ctx context.Context, target night.Target) night.Event {
	sweep := night.ConfigFor(p.options.ReportWithin, p.options.MaxInFlight).SweepInterval
	p.mutex.Lock()
	at, ok := p.answeredAt[target]
	p.mutex.Unlock()
	if ok && at+sweep > p.options.Now() {
		return night.ProbeSkipped{Target: target, At: at}
	}
	service := p.service(target.Ref)
	if service == nil || p.options.Belief.Draining(target.Address) {
		return night.ProbeSkipped{Target: target, At: p.options.Now()}
	}
	p.probeNumber++
	id := string(p.options.Self) + "-probe-" + strconv.FormatUint(p.probeNumber, decimal)
	p.probes.Inc(1)
	p.inFlight.Update(p.inFlight.Value() + 1)
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		alive, detail := p.probe(ctx, target, service.Idempotent, id)
		_ = p.events.Put(ctx, probeResult{target: target, alive: alive, detail: detail})
	}()
	return nil
}

func (p *Prober) service(ref core.ShardRef) *catalog.Service {
	config := p.options.Belief.Config()
	if config == nil {
		return nil
	}
	return config.Catalog.Services[ref.Service]
}

// probe sends a real query to a replica of an idempotent service. If it fails, the health endpoint is
// requested for the report only: it can report success while requests hang. A replica of a service
// whose requests must not be repeated is probed by its health endpoint alone, and the detail says so.
func (p *Prober) probe(ctx context.Context, target night.Target, idempotent bool, id string) (bool, string) {
	timeout := night.ProbeTimeout(p.options.ReportWithin)
	if !idempotent {
		health, err := p.options.Upstream.Health(ctx, target.Address, timeout)
		return err == nil, "probed by its health endpoint only, as its requests must not be repeated: " + describe(health, err)
	}
	started := p.options.Now()
	result := p.options.Upstream.Do(ctx, upstream.Call{
		Address:       target.Address,
		Ref:           target.Ref,
		RequestID:     id,
		Customer:      ProbeCustomer,
		RemainingTime: timeout - healthTimeout(timeout),
		Body:          upstream.Body{Question: json.RawMessage("null")},
	})
	if hasReplied(result) {
		return true, ""
	}
	elapsed := p.options.Now() - started
	health, err := p.options.Upstream.Health(ctx, target.Address, healthTimeout(timeout))
	return false, fmt.Sprintf("a query with the question null failed after %d ms: %s: %s; its health endpoint says: %s",
		elapsed.Milliseconds(), result.Reason, describe("", result.Cause), describe(health, err))
}

// healthTimeout is the part of a probe's timeout that is reserved for the health endpoint after the
// query.
func healthTimeout(timeout time.Duration) time.Duration { return timeout / 3 }

// hasReplied reports whether the replica itself sent a result or a refusal.
func hasReplied(result upstream.Result) bool {
	switch result.Reason {
	case core.ReasonVersionGone, core.ReasonOverloaded, core.ReasonDraining:
		return true
	default:
		return result.Outcome == core.Done
	}
}

func describe(reply string, err error) string {
	if err != nil {
		return err.Error()
	}
	if reply == "" {
		return "no cause given"
	}
	return reply
}
