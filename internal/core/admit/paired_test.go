package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

// seen is what became of the requests of one customer.
type seen struct {
	questions, whole  int
	refused, noReturn int
}

// question asks every shard; it is whole when each has answered.
func (w *world) question(shards int, customer core.Customer, asks map[RequestID]core.Customer, into *seen) {
	into.questions++
	left := shards
	for shard := range shards {
		asks[w.next+1] = customer
		w.offer(shard, customer, time.Second, func(done, _ bool) {
			if done {
				left--
			}
			if done && left == 0 {
				into.whole++
			}
		})
	}
}

// A data centre with one replica of every shard is lost at noon, just while the
// large customer's import offers four times what the rest can serve. Chefs' and
// supervisors' questions must stay whole from the replicas elsewhere; the import
// is told when to come back, and the owners' own tries do not add to the load.
func TestALostDataCentreUnderASurgeCostsTheLargeCustomerOnly(t *testing.T) {
	const shards, smallCustomers, smallRate, largeRate = 6, 5, 8, 400
	w := newWorld(11)
	w.service(false, shards, 2, 10*time.Millisecond)
	asks, customers := map[RequestID]core.Customer{}, map[core.Customer]*seen{"large": {}}
	w.refused = func(r Refuse) {
		customer := customers[asks[r.Request]]
		customer.refused++
		if r.RetryAfter <= 0 {
			customer.noReturn++
		}
	}
	for i := range smallCustomers {
		name := core.Customer(fmt.Sprint("small-", i))
		customers[name] = &seen{}
		w.poisson(smallRate, modelRun, func() { w.question(shards, name, asks, customers[name]) })
	}
	w.at(modelRun/4, func() {
		w.poisson(largeRate, 3*modelRun/4, func() { w.question(shards, "large", asks, customers["large"]) })
	})
	w.at(modelRun/2, func() {
		for shard := range shards {
			w.upstream[fmt.Sprintf("%d-1", shard)].lost = true
		}
	})
	w.run(2 * modelRun)
	offered := 0
	for name, customer := range customers {
		t.Logf("%-8s %+v", name, *customer)
		offered += shards * customer.questions
		if name != "large" {
			require.Equal(t, customer.questions, customer.whole, "%s has a thin answer", name)
			require.Zero(t, customer.refused, name)
		}
	}
	large := customers["large"]
	require.Positive(t, large.refused)
	require.Positive(t, large.whole, "the large customer is served as well")
	require.Zero(t, large.noReturn, "a refusal does not say when to come back")
	t.Logf("%d extra tries for %d requests", w.extra, offered)
	require.LessOrEqual(t, w.extra, offered/10+budget.DefaultFloor)
}

// Of every shard's replicas one loses connections, so that each second request to
// it goes silent, and the other one straggles at ten times its usual time. Each
// request must end once, answered or named as failed, and the tries that join a
// running one stay within the budget, also when more is asked than can be served.
func TestSilentConnectionsBesideAStragglerStayWithinTheBudget(t *testing.T) {
	const shards = 4
	cases := []struct{ rate, ratio, leastWhole float64 }{
		{rate: 12, ratio: budget.DefaultRatio, leastWhole: 0.9},
		{rate: 12, ratio: 0.02},
		{rate: 60, ratio: budget.DefaultRatio},
	}
	for _, one := range cases {
		w := newWorld(12)
		bound := budget.Config{Ratio: one.ratio, Floor: budget.DefaultFloor}
		w.serviceWithin(false, shards, 2, 10*time.Millisecond, budget.NewGroup(budget.GroupConfig{Service: bound}))
		for shard := range shards {
			w.upstream[fmt.Sprintf("%d-0", shard)].silentOf = 2
			w.upstream[fmt.Sprintf("%d-1", shard)].mean *= 10
		}
		ends := map[int]int{}
		questions, whole, named := 0, 0, 0
		w.poisson(one.rate, modelRun, func() {
			number, answered, left := questions, 0, shards
			questions++
			for shard := range shards {
				w.offer(shard, "chef", time.Second, func(done, _ bool) {
					ends[number*shards+shard]++
					left--
					if done {
						answered++
					}
					switch {
					case left == 0 && answered == shards:
						whole++
					case left == 0:
						named++
					}
				})
			}
		})
		w.run(2 * modelRun)
		t.Logf("%v/s, budget %v: %d questions, %d whole, %d name what is missing, %d extra tries", one.rate, one.ratio, questions, whole, named, w.extra)
		require.Equal(t, questions, whole+named)
		for request := range questions * shards {
			require.Equal(t, 1, ends[request], "request %d", request)
		}
		require.LessOrEqual(t, float64(w.extra), one.ratio*float64(questions*shards)+budget.DefaultFloor)
		require.GreaterOrEqual(t, float64(whole), one.leastWhole*float64(questions))
		require.Positive(t, w.extra, "nothing was hedged")
	}
}
