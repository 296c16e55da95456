// Package baseline is a naive fan-out client for comparison only: each caller
// process connects to the replicas directly, without owners, queues, hedges or
// limits. It sends each request to a random replica and retries at once, again on
// a random replica, when that fails.
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
	// unlimitedConnections exceeds the connections that any replica accepts.
	unlimitedConnections = 10000
	// maxAttempts is the maximum number of attempts for one shard.
	maxAttempts = 3
)

// Fanout is a set of naive caller processes with the same configuration.
type Fanout struct {
	text       *catalog.Catalog
	callers    []*upstream.Client
	queryCount atomic.Uint64
	mutex      sync.Mutex
	rng        *rand.Rand
}

// New creates the given number of caller processes, each with its own connections.
func New(text *catalog.Catalog, callers int, seed uint64) *Fanout {
	fanout := &Fanout{text: text, rng: rand.New(rand.NewPCG(seed, seed))}
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
				caller.SetConnectionShare(replica.Address, unlimitedConnections)
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

// query is a query in flight.
type query struct {
	id       string
	caller   *upstream.Client
	request  load.Request
	deadline time.Time
	mutex    sync.Mutex
	parts    map[string][]upstream.Dependency
	versions map[core.Version]bool
	answered int
}

// Send implements load.Sender. It queries the services in the order of their
// dependencies, and services that do not depend on each other concurrently.
func (f *Fanout) Send(ctx context.Context, request load.Request) load.Reply {
	service := f.text.Services[request.Service]
	if service == nil {
		return load.Reply{Outcome: core.NotRun.String(), Code: fault.CodeUnknownService}
	}
	number := f.queryCount.Add(1)
	timeout := request.Timeout
	if timeout == 0 {
		timeout = service.Timeout
	}
	q := &query{
		id:       "naive-" + strconv.FormatUint(number, 10),
		caller:   f.callers[number%uint64(len(f.callers))],
		request:  request,
		deadline: time.Now().Add(timeout),
		parts:    map[string][]upstream.Dependency{},
		versions: map[core.Version]bool{},
	}
	requestedShards := f.queryAll(ctx, q)
	return load.Reply{Outcome: core.Done.String(), Asked: requestedShards, Answered: q.answered, Mixed: len(q.versions) > 1}
}

func (f *Fanout) queryAll(ctx context.Context, q *query) int {
	requestedShards := 0
	pending := f.text.Closure(q.request.Service)
	completed := map[string]bool{}
	for len(pending) > 0 {
		var ready, blocked []*catalog.Service
		for _, service := range pending {
			if allCompleted(completed, service.DependsOn) {
				ready = append(ready, service)
			} else {
				blocked = append(blocked, service)
			}
		}
		requestedShards += f.queryServices(ctx, q, ready)
		for _, service := range ready {
			completed[service.Name] = true
		}
		pending = blocked
	}
	return requestedShards
}

func allCompleted(completed map[string]bool, names []string) bool {
	for _, name := range names {
		if !completed[name] {
			return false
		}
	}
	return true
}

func (f *Fanout) queryServices(ctx context.Context, q *query, services []*catalog.Service) int {
	var running sync.WaitGroup
	requestedShards := 0
	for _, service := range services {
		dependencies := q.dependencyParts(service.DependsOn)
		for i := range service.Shards {
			requestedShards++
			running.Go(func() { f.queryShard(ctx, q, &service.Shards[i], dependencies) })
		}
	}
	running.Wait()
	return requestedShards
}

// dependencyParts collects the parts of the named dependencies.
func (q *query) dependencyParts(names []string) []upstream.Dependency {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var dependencies []upstream.Dependency
	for _, name := range names {
		dependencies = append(dependencies, q.parts[name]...)
	}
	return dependencies
}

func (f *Fanout) queryShard(ctx context.Context, q *query, shard *catalog.Shard, dependencies []upstream.Dependency) {
	for range maxAttempts {
		remaining := time.Until(q.deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return
		}
		result := q.caller.Do(ctx, upstream.Call{
			Address:       f.randomReplica(shard),
			Ref:           shard.Ref,
			RequestID:     q.id,
			Customer:      q.request.Customer,
			RemainingTime: remaining,
			Body:          upstream.Body{Question: json.RawMessage(`"pork shoulder"`), Dependencies: dependencies},
		})
		if result.Outcome == core.Done {
			q.addPart(shard.Ref, result)
			return
		}
	}
}

func (f *Fanout) randomReplica(shard *catalog.Shard) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return shard.Replicas[f.rng.IntN(len(shard.Replicas))].Address
}

func (q *query) addPart(ref core.ShardRef, result upstream.Result) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.answered++
	q.versions[result.Version] = true
	q.parts[ref.Service] = append(q.parts[ref.Service], upstream.Dependency{Service: ref.Service, Shard: ref.Shard, Part: result.Payload})
}
