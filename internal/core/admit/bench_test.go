package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

func benchConfig(names []string) Config {
	config := Config{Service: "s", Slots: 2, Share: 8, MaxQueue: modelMaxQueue, Budget: budget.NewGroup(budget.GroupConfig{}), Latency: &latency.Histogram{}}
	for _, name := range names {
		config.Replicas = append(config.Replicas, ReplicaConfig{Address: name})
	}
	return config
}

// BenchmarkRequest measures a request from offer to end, in a queue with the given number of customers
// and four requests each.
func BenchmarkRequest(b *testing.B) {
	names := []string{"a", "b"}
	for _, customers := range []int{1, 100} {
		b.Run(fmt.Sprintf("fifo/customers=%d", customers), func(b *testing.B) {
			benchRequests(b, newFIFO(2, modelMaxQueue, names), customers)
		})
		b.Run(fmt.Sprintf("fair/customers=%d", customers), func(b *testing.B) {
			benchRequests(b, NewShard(benchConfig(names)), customers)
		})
	}
}

func benchRequests(b *testing.B, machine stepper, customers int) {
	names := make([]core.Customer, customers)
	for i := range names {
		names[i] = core.Customer(fmt.Sprint("customer-", i))
	}
	var now core.Time
	var id RequestID
	var running []AttemptID
	offer := func() {
		id++
		running = dispatched(running, machine.Step(now, Offered{ID: id, Customer: names[int(id)%customers], Weight: 1, Deadline: now + time.Hour}))
	}
	for range 4 * customers {
		offer()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		offer()
		ended := running[0]
		running = dispatched(running[1:], machine.Step(now, TryEnded{Try: ended, Outcome: core.Done, Load: -1}))
	}
}

func dispatched(running []AttemptID, actions []Action) []AttemptID {
	for _, action := range actions {
		if d, ok := action.(Dispatch); ok {
			running = append(running, d.Try)
		}
	}
	return running
}

// BenchmarkMemory reports the bytes per idle shard with two replicas, and per waiting request with 64
// customers.
func BenchmarkMemory(b *testing.B) {
	const shards, requests = 2000, 400
	for range b.N {
		budgets, serviceLatency := budget.NewGroup(budget.GroupConfig{}), &latency.Histogram{}
		before := heapBytes()
		list := make([]*Shard, shards)
		for i := range list {
			config := benchConfig([]string{"10.0.0.1:8080", "10.0.0.2:8080"})
			config.Budget, config.Latency = budgets, serviceLatency
			list[i] = NewShard(config)
		}
		idle := heapBytes()
		for _, shard := range list[:100] {
			for id := range RequestID(requests) {
				shard.Step(0, Offered{ID: id + 1, Customer: benchCustomers[id%64], Weight: 1, Deadline: time.Hour})
			}
		}
		full := heapBytes()
		b.ReportMetric(float64(idle-before)/shards, "B/shard")
		b.ReportMetric(float64(full-idle)/(100*requests), "B/queued")
		runtime.KeepAlive(list)
	}
}

var benchCustomers = func() (names [64]core.Customer) {
	for i := range names {
		names[i] = core.Customer(fmt.Sprint("customer-", i))
	}
	return names
}()

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
