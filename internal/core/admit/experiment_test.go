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
	modelSlots = 2
	modelQueue = 512
	modelShare = 8
	modelRun   = 60 * time.Second
)

// service adds shards with the given number of replicas each to the world.
func (w *world) service(plain bool, shards, replicas int, mean time.Duration) {
	w.serviceWithin(plain, shards, replicas, mean, budget.NewGroup(budget.GroupConfig{}))
}

func (w *world) serviceWithin(plain bool, shards, replicas int, mean time.Duration, group *budget.Group) {
	learnt := &latency.Histogram{}
	for i := range shards {
		var names []string
		config := Config{Service: "s", Slots: modelSlots, Share: modelShare, MaxQueue: modelQueue, Budget: group, Latency: learnt, Jitter: rand.New(rand.NewPCG(7, uint64(i)))}
		for j := range replicas {
			name := fmt.Sprintf("%d-%d", i, j)
			names = append(names, name)
			w.upstream[name] = &modelReplica{slots: modelSlots, mean: mean}
			config.Replicas = append(config.Replicas, ReplicaConfig{Address: name})
		}
		if plain {
			w.add(newFIFO(modelSlots, modelQueue, names))
		} else {
			w.add(NewShard(config))
		}
	}
}

// tally is what callers saw.
type tally struct {
	latencies             []time.Duration
	offered, done, notRun int
}

func (w *world) ask(shard int, customer core.Customer, timeout time.Duration, into *tally) {
	started := w.now
	into.offered++
	w.offer(shard, customer, timeout, func(done, notRun bool) {
		if done {
			into.done++
			into.latencies = append(into.latencies, w.now-started)
		}
		if notRun {
			into.notRun++
		}
	})
}

// A chef's query waits behind an import of the largest customer: ten customers
// with equal shares, nine within theirs, one offering ten times its share.
func runLargeCustomer(plain, large bool) (small, big tally) {
	w := newWorld(1)
	w.service(plain, 1, 2, 10*time.Millisecond)
	for i := range 9 {
		w.poisson(22, modelRun, func() { w.ask(0, core.Customer(fmt.Sprint("small-", i)), 250*time.Millisecond, &small) })
	}
	if large {
		w.poisson(364, modelRun, func() { w.ask(0, "large", 250*time.Millisecond, &big) })
	}
	w.run(2 * modelRun)
	return small, big
}

func TestLargeCustomerDoesNotStarveSmallOnes(t *testing.T) {
	for _, plain := range []bool{true, false} {
		alone, _ := runLargeCustomer(plain, false)
		small, big := runLargeCustomer(plain, true)
		without, with := percentile(alone.latencies, 0.99), percentile(small.latencies, 0.99)
		total := float64(small.done+big.done) / modelRun.Seconds()
		t.Logf("plain %v: small p99 %v without, %v with the large customer; small answered %d of %d; in all %.0f/s", plain, without, with, small.done, small.offered, total)
		if !plain {
			require.Less(t, with, 3*without)
			require.GreaterOrEqual(t, float64(small.done), 0.99*float64(small.offered))
			require.Greater(t, total, 0.9*364, "work conserving: the slots serve 364/s")
		}
	}
}

// One of twenty replicas takes ten times as long, and each query needs all ten
// shards, so the slow one sets the latency of whole answers.
func runStraggler(plain bool, slowdown int) (queries tally, w *world) {
	w = newWorld(2)
	w.service(plain, 10, 2, 10*time.Millisecond)
	w.upstream["3-1"].mean *= time.Duration(slowdown)
	w.poisson(100, modelRun, func() {
		started, left := w.now, 10
		queries.offered++
		for shard := range 10 {
			w.offer(shard, "chef", time.Second, func(done, _ bool) {
				left--
				if left == 0 {
					queries.done++
					queries.latencies = append(queries.latencies, w.now-started)
				}
			})
		}
	})
	w.run(2 * modelRun)
	return queries, w
}

func TestStragglerIsHedgedWithinTheBudget(t *testing.T) {
	for _, plain := range []bool{true, false} {
		healthy, _ := runStraggler(plain, 1)
		queries, w := runStraggler(plain, 10)
		extra := float64(w.extra) / float64(10*queries.offered)
		p99 := percentile(queries.latencies, 0.99)
		t.Logf("plain %v: whole-query p50 %v p99 %v (healthy p99 %v), extra load %.2f%%, straggler got %d of %d", plain,
			percentile(queries.latencies, 0.5), p99, percentile(healthy.latencies, 0.99), 100*extra, w.upstream["3-1"].received, w.sent)
		require.LessOrEqual(t, w.extra, 10*queries.offered/10+20, "the budget's bound")
		if !plain {
			require.Less(t, p99, 100*time.Millisecond)
		}
	}
}

// Three of ten replicas answer every request with an error. Fast errors look
// like free slots, so the broken replicas draw the work to themselves.
func TestFailingReplicasCostLittle(t *testing.T) {
	for _, plain := range []bool{true, false} {
		var queries tally
		w := newWorld(3)
		w.service(plain, 1, 10, 10*time.Millisecond)
		for i := range 3 {
			w.upstream[fmt.Sprint("0-", i)].failing = true
		}
		w.poisson(900, modelRun, func() { w.ask(0, "chef", 500*time.Millisecond, &queries) })
		w.run(2 * modelRun)
		extra := float64(w.sent)/float64(queries.offered) - 1
		t.Logf("plain %v: answered %.2f%%, extra load %.2f%%", plain, 100*float64(queries.done)/float64(queries.offered), 100*extra)
		if !plain {
			require.Greater(t, float64(queries.done), 0.99*float64(queries.offered))
			require.Less(t, extra, 0.1)
		}
	}
}

// All replicas answer half of the requests with an error. Without the bound each
// failure would be tried on all of them; and were each replica taken out after a
// few errors in a row, none would be left for the half that succeeds.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	var queries tally
	w := newWorld(5)
	w.service(false, 1, 10, 10*time.Millisecond)
	w.failures = 0.5
	w.poisson(500, modelRun, func() { w.ask(0, "chef", 500*time.Millisecond, &queries) })
	w.run(2 * modelRun)
	t.Logf("extra load %.2f%% of %d, answered %.2f%%", 100*float64(w.extra)/float64(queries.offered), queries.offered, 100*float64(queries.done)/float64(queries.offered))
	require.LessOrEqual(t, w.extra, queries.offered/10+budget.DefaultFloor)
	require.Greater(t, queries.done, queries.offered/2)
}

// All replicas refuse all work. Trying each request on each replica would send
// them several times their load just then.
func TestSheddingServiceIsLeftAlone(t *testing.T) {
	for _, plain := range []bool{true, false} {
		var queries tally
		w := newWorld(4)
		w.service(plain, 1, 4, 10*time.Millisecond)
		for _, r := range w.upstream {
			r.slots = 0
		}
		w.poisson(500, modelRun, func() { w.ask(0, "chef", 250*time.Millisecond, &queries) })
		w.run(2 * modelRun)
		share := float64(w.sent) / float64(queries.offered)
		t.Logf("plain %v: %.3f upstream requests a request, %d of %d refused at once or in time", plain, share, queries.notRun, queries.offered)
		if !plain {
			require.Less(t, share, 0.1)
			require.Zero(t, queries.done)
		}
	}
}
