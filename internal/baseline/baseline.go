// Package baseline is a naive fan-out client, for comparison only: each caller
// process connects to the replicas itself, without owners, queues, hedges or
// limits. It asks a random replica and tries another at once when that fails.
package baseline

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/load"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const (
	// unlimited is more connections than any replica takes.
	unlimited = 10000
	// tries is how often one shard is asked.
	tries = 3
)

// Fanout is a set of naive caller processes over one text.
type Fanout struct {
	text    *catalog.Catalog
	callers []*upstream.Client
	next    atomic.Uint64
	mutex   sync.Mutex
	source  *rand.Rand
}

// New makes the given number of caller processes, each with connections of its
// own.
func New(text *catalog.Catalog, callers int, seed uint64) *Fanout {
	fanout := &Fanout{text: text, source: rand.New(rand.NewPCG(seed, seed))}
	for range callers {
		fanout.callers = append(fanout.callers, newCaller(text))
	}
	return fanout
}

func newCaller(text *catalog.Catalog) *upstream.Client {
	caller := upstream.NewClient()
	for _, service := range text.Services {
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				caller.SetConnectionShare(replica.Address, unlimited)
			}
		}
	}
	return caller
}

// Close closes idle connections.
func (f *Fanout) Close() {
	for _, caller := range f.callers {
		caller.Close()
	}
}

// question is one question on its way.
type question struct {
	id       string
	caller   *upstream.Client
	request  load.Request
	deadline time.Time
	mutex    sync.Mutex
	parts    map[string][]upstream.Dependency
	versions map[core.Version]bool
	answered int
}

// Ask implements load.Asker. It asks service after service in the order of
// their dependencies, those without dependencies between them at once.
func (f *Fanout) Ask(ctx context.Context, request load.Request) load.Reply {
	service := f.text.Services[request.Service]
	if service == nil {
		return load.Reply{Outcome: core.NotRun.String(), Code: fault.CodeUnknownService}
	}
	number := f.next.Add(1)
	timeout := request.Timeout
	if timeout == 0 {
		timeout = service.Timeout
	}
	q := &question{
		id:       "naive-" + strconv.FormatUint(number, 10),
		caller:   f.callers[number%uint64(len(f.callers))],
		request:  request,
		deadline: time.Now().Add(timeout),
		parts:    map[string][]upstream.Dependency{},
		versions: map[core.Version]bool{},
	}
	asked := f.askAll(ctx, q)
	return load.Reply{Outcome: core.Done.String(), Asked: asked, Answered: q.answered, Mixed: len(q.versions) > 1}
}

func (f *Fanout) askAll(ctx context.Context, q *question) int {
	asked := 0
	pending := f.text.Closure(q.request.Service)
	settled := map[string]bool{}
	for len(pending) > 0 {
		var ready, later []*catalog.Service
		for _, service := range pending {
			if allSettled(settled, service.DependsOn) {
				ready = append(ready, service)
			} else {
				later = append(later, service)
			}
		}
		asked += f.askStep(ctx, q, ready)
		for _, service := range ready {
			settled[service.Name] = true
		}
		pending = later
	}
	return asked
}

func allSettled(settled map[string]bool, names []string) bool {
	for _, name := range names {
		if !settled[name] {
			return false
		}
	}
	return true
}

func (f *Fanout) askStep(ctx context.Context, q *question, services []*catalog.Service) int {
	var open sync.WaitGroup
	asked := 0
	for _, service := range services {
		given := q.given(service.DependsOn)
		for i := range service.Shards {
			asked++
			open.Go(func() { f.askShard(ctx, q, &service.Shards[i], given) })
		}
	}
	open.Wait()
	return asked
}

// given collects the parts of the dependencies.
func (q *question) given(names []string) []upstream.Dependency {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var given []upstream.Dependency
	for _, name := range names {
		given = append(given, q.parts[name]...)
	}
	return given
}

func (f *Fanout) askShard(ctx context.Context, q *question, shard *catalog.Shard, given []upstream.Dependency) {
	for range tries {
		left := time.Until(q.deadline)
		if left <= 0 || ctx.Err() != nil {
			return
		}
		result := q.caller.Do(ctx, upstream.Call{
			Address:       f.pick(shard),
			Ref:           shard.Ref,
			RequestID:     q.id,
			Customer:      q.request.Customer,
			RemainingTime: left,
			Body:          upstream.Body{Question: json.RawMessage(`"pork shoulder"`), Dependencies: given},
		})
		if result.Outcome == core.Done {
			q.keep(shard.Ref, result)
			return
		}
	}
}

func (f *Fanout) pick(shard *catalog.Shard) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return shard.Replicas[f.source.IntN(len(shard.Replicas))].Address
}

func (q *question) keep(ref core.ShardRef, result upstream.Result) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.answered++
	q.versions[result.Version] = true
	q.parts[ref.Service] = append(q.parts[ref.Service], upstream.Dependency{Service: ref.Service, Shard: ref.Shard, Part: result.Payload})
}
