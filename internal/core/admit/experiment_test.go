package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

const (
	modelSlots    = 2
	modelMaxQueue = 512
	modelShare    = 8
	modelDuration = 60 * time.Second
)

// addService adds shards with the given number of replicas each to the simulation.
func (sim *simulation) addService(fifo bool, shards, replicas int, mean time.Duration) {
	sim.addServiceWithBudget(fifo, shards, replicas, mean, budget.NewGroup(budget.GroupConfig{}))
}

func (sim *simulation) addServiceWithBudget(fifo bool, shards, replicas int, mean time.Duration, group *budget.Group) {
	serviceLatency := &latency.Histogram{}
	for i := range shards {
		var names []string
		config := Config{Service: "s", Slots: modelSlots, Share: modelShare, MaxQueue: modelMaxQueue, Budget: group, Latency: serviceLatency, Jitter: rand.New(rand.NewPCG(7, uint64(i)))}
		for j := range replicas {
			name := fmt.Sprintf("%d-%d", i, j)
			names = append(names, name)
			sim.replicas[name] = &modelReplica{slots: modelSlots, mean: mean}
			config.Replicas = append(config.Replicas, ReplicaConfig{Address: name})
		}
		if fifo {
			sim.addShard(newFIFO(modelSlots, modelMaxQueue, names))
		} else {
			sim.addShard(NewShard(config))
		}
	}
}

// callerResults counts the results of requests as seen by callers.
type callerResults struct {
	latencies             []time.Duration
	offered, done, notRun int
}

func (sim *simulation) offerAndCount(shard int, customer core.Customer, timeout time.Duration, results *callerResults) {
	started := sim.now
	results.offered++
	sim.offer(shard, customer, timeout, func(done, notRun bool) {
		if done {
			results.done++
			results.latencies = append(results.latencies, sim.now-started)
		}
		if notRun {
			results.notRun++
		}
	})
}

// runLargeCustomer simulates ten customers with equal shares: nine stay within theirs, and optionally
// one offers ten times its share.
func runLargeCustomer(fifo, withLarge bool) (small, large callerResults) {
	sim := newSimulation(1)
	sim.addService(fifo, 1, 2, 10*time.Millisecond)
	for i := range 9 {
		sim.poissonArrivals(22, modelDuration, func() { sim.offerAndCount(0, core.Customer(fmt.Sprint("small-", i)), 250*time.Millisecond, &small) })
	}
	if withLarge {
		sim.poissonArrivals(364, modelDuration, func() { sim.offerAndCount(0, "large", 250*time.Millisecond, &large) })
	}
	sim.run(2 * modelDuration)
	return small, large
}

func TestLargeCustomerDoesNotStarveSmallOnes(t *testing.T) {
	for _, fifo := range []bool{true, false} {
		smallAlone, _ := runLargeCustomer(fifo, false)
		small, large := runLargeCustomer(fifo, true)
		p99Alone, p99WithLarge := percentile(smallAlone.latencies, 0.99), percentile(small.latencies, 0.99)
		total := float64(small.done+large.done) / modelDuration.Seconds()
		t.Logf("fifo %v: p99 of small customers %v without and %v with the large customer; %d of %d small requests answered; total %.0f/s", fifo, p99Alone, p99WithLarge, small.done, small.offered, total)
		if !fifo {
			require.Less(t, p99WithLarge, 3*p99Alone)
			require.GreaterOrEqual(t, float64(small.done), 0.99*float64(small.offered))
			require.Greater(t, total, 0.9*364, "the scheduler must be work-conserving: the slots serve 364/s")
		}
	}
}

// runStraggler simulates queries that need all ten shards, with one of twenty replicas slower by the
// given factor. The slow replica determines the latency of complete answers.
func runStraggler(fifo bool, slowdown int) (queries callerResults, sim *simulation) {
	sim = newSimulation(2)
	sim.addService(fifo, 10, 2, 10*time.Millisecond)
	sim.replicas["3-1"].mean *= time.Duration(slowdown)
	sim.poissonArrivals(100, modelDuration, func() {
		started, remaining := sim.now, 10
		queries.offered++
		for shard := range 10 {
			sim.offer(shard, "chef", time.Second, func(done, _ bool) {
				remaining--
				if remaining == 0 {
					queries.done++
					queries.latencies = append(queries.latencies, sim.now-started)
				}
			})
		}
	})
	sim.run(2 * modelDuration)
	return queries, sim
}

func TestStragglerIsHedgedWithinTheBudget(t *testing.T) {
	for _, fifo := range []bool{true, false} {
		healthy, _ := runStraggler(fifo, 1)
		queries, sim := runStraggler(fifo, 10)
		extra := float64(sim.extraAttempts) / float64(10*queries.offered)
		p99 := percentile(queries.latencies, 0.99)
		t.Logf("fifo %v: query p50 %v p99 %v (without straggler p99 %v), extra load %.2f%%, straggler received %d of %d requests", fifo,
			percentile(queries.latencies, 0.5), p99, percentile(healthy.latencies, 0.99), 100*extra, sim.replicas["3-1"].received, sim.attempts)
		require.LessOrEqual(t, sim.extraAttempts, 10*queries.offered/10+20, "extra attempts exceed the budget")
		if !fifo {
			require.Less(t, p99, 100*time.Millisecond)
		}
	}
}

// Guards against failing replicas attracting requests: three of ten replicas answer every request with
// an error, and fast errors look like free slots.
func TestFailingReplicasAddLittleLoad(t *testing.T) {
	for _, fifo := range []bool{true, false} {
		var queries callerResults
		sim := newSimulation(3)
		sim.addService(fifo, 1, 10, 10*time.Millisecond)
		for i := range 3 {
			sim.replicas[fmt.Sprint("0-", i)].failing = true
		}
		sim.poissonArrivals(900, modelDuration, func() { sim.offerAndCount(0, "chef", 500*time.Millisecond, &queries) })
		sim.run(2 * modelDuration)
		extra := float64(sim.attempts)/float64(queries.offered) - 1
		t.Logf("fifo %v: answered %.2f%%, extra load %.2f%%", fifo, 100*float64(queries.done)/float64(queries.offered), 100*extra)
		if !fifo {
			require.Greater(t, float64(queries.done), 0.99*float64(queries.offered))
			require.Less(t, extra, 0.1)
		}
	}
}

// Guards against unbounded retries when all replicas fail half of the requests, and against taking
// every replica out after a few consecutive errors, which would leave none for the half that succeeds.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var queries callerResults
	sim := newSimulation(5)
	sim.addService(false, 1, 10, 10*time.Millisecond)
	sim.failureRate = 0.5
	sim.poissonArrivals(500, modelDuration, func() { sim.offerAndCount(0, "chef", 500*time.Millisecond, &queries) })
	sim.run(2 * modelDuration)
	t.Logf("extra load %.2f%% of %d, answered %.2f%%", 100*float64(sim.extraAttempts)/float64(queries.offered), queries.offered, 100*float64(queries.done)/float64(queries.offered))
	require.LessOrEqual(t, sim.extraAttempts, queries.offered/10+budget.DefaultFloor)
	require.Greater(t, queries.done, queries.offered/2)
}

// Guards against multiplying the load of a service whose replicas all shed all requests, by trying
// each request on each replica.
func TestSheddingServiceGetsFewRequests(t *testing.T) {
	for _, fifo := range []bool{true, false} {
		var queries callerResults
		sim := newSimulation(4)
		sim.addService(fifo, 1, 4, 10*time.Millisecond)
		for _, r := range sim.replicas {
			r.slots = 0
		}
		sim.poissonArrivals(500, modelDuration, func() { sim.offerAndCount(0, "chef", 250*time.Millisecond, &queries) })
		sim.run(2 * modelDuration)
		attemptsPerRequest := float64(sim.attempts) / float64(queries.offered)
		t.Logf("fifo %v: %.3f attempts per request, %d of %d requests refused", fifo, attemptsPerRequest, queries.notRun, queries.offered)
		if !fifo {
			require.Less(t, attemptsPerRequest, 0.1)
			require.Zero(t, queries.done)
		}
	}
}
