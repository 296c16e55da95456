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

// begin starts a probe, unless real traffic has answered in its place.
func (p *Prober) begin(ctx context.Context, target night.Target) night.Event {
	sweep := night.Paced(p.options.ReportWithin, p.options.MaxInFlight).Sweep
	p.mutex.Lock()
	at, ok := p.answered[target]
	p.mutex.Unlock()
	if ok && at+sweep > p.options.Now() {
		return night.Answered{Target: target, At: at}
	}
	service := p.service(target.Ref)
	if service == nil {
		return night.Answered{Target: target, At: p.options.Now()}
	}
	p.number++
	id := string(p.options.Self) + "-probe-" + strconv.FormatUint(p.number, decimal)
	p.probes.Inc(1)
	p.inFlight.Update(p.inFlight.Value() + 1)
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		alive, detail := p.probe(ctx, target, service.Idempotent, id)
		_ = p.events.Put(ctx, ended{target: target, alive: alive, detail: detail})
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

// probe asks the health endpoint and, of an idempotent service, a real question.
// A health endpoint can say that all is well while requests hang, so that the
// real question decides. A service that must not be repeated has only its health
// endpoint, and the report says so.
func (p *Prober) probe(ctx context.Context, target night.Target, idempotent bool, id string) (bool, string) {
	limit := night.ProbeTimeout(p.options.ReportWithin)
	if !idempotent {
		health, err := p.options.Upstream.Health(ctx, target.Address, limit)
		return err == nil, "probed by its health endpoint only, as it must not be asked twice: " + said(health, err)
	}
	started := p.options.Now()
	result := p.options.Upstream.Do(ctx, upstream.Call{
		Address:       target.Address,
		Ref:           target.Ref,
		RequestID:     id,
		Customer:      ProbeCustomer,
		RemainingTime: limit - healthShare(limit),
		Body:          upstream.Body{Question: json.RawMessage("null")},
	})
	if answers(result) {
		return true, ""
	}
	took := p.options.Now() - started
	health, err := p.options.Upstream.Health(ctx, target.Address, healthShare(limit))
	return false, fmt.Sprintf("a query with the question null failed after %d ms: %s: %s; its health endpoint says: %s",
		took.Milliseconds(), result.Reason, said("", result.Cause), said(health, err))
}

// healthShare is the part of a probe's time that is left for the health endpoint
// after the query.
func healthShare(limit time.Duration) time.Duration { return limit / 3 }

// answers reports whether the replica gave any answer of its own: a result, or a
// refusal that it made itself.
func answers(result upstream.Result) bool {
	switch result.Reason {
	case core.ReasonVersionGone, core.ReasonOverloaded, core.ReasonDraining:
		return true
	default:
		return result.Outcome == core.Done
	}
}

func said(text string, err error) string {
	if err != nil {
		return err.Error()
	}
	if text == "" {
		return "no cause given"
	}
	return text
}
