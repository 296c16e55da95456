package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

// customerResults counts the results of the queries and requests of one customer.
type customerResults struct {
	queries, complete          int
	refused, withoutRetryAfter int
}

// offerQuery offers a query to every shard. It is complete when each shard has answered.
func (sim *simulation) offerQuery(shards int, customer core.Customer, customerOf map[RequestID]core.Customer, results *customerResults) {
	results.queries++
	remaining := shards
	for shard := range shards {
		customerOf[sim.lastRequest+1] = customer
		sim.offer(shard, customer, time.Second, func(done, _ bool) {
			if done {
				remaining--
			}
			if done && remaining == 0 {
				results.complete++
			}
		})
	}
}

// Guards against the loss of one replica of every shard, during a surge of a large customer to four
// times the remaining capacity, affecting other customers. Their queries must stay complete, the large
// customer must be refused with a retry-after time, and extra attempts must stay within the budget.
func TestALostDataCentreUnderASurgeCostsTheLargeCustomerOnly(t *testing.T) {
	const shards, smallCustomers, smallRate, largeRate = 6, 5, 8, 400
	sim := newSimulation(11)
	sim.addService(false, shards, 2, 10*time.Millisecond)
	customerOf, customers := map[RequestID]core.Customer{}, map[core.Customer]*customerResults{"large": {}}
	sim.onRefuse = func(r Refuse) {
		customer := customers[customerOf[r.Request]]
		customer.refused++
		if r.RetryAfter <= 0 {
			customer.withoutRetryAfter++
		}
	}
	for i := range smallCustomers {
		name := core.Customer(fmt.Sprint("small-", i))
		customers[name] = &customerResults{}
		sim.poissonArrivals(smallRate, modelDuration, func() { sim.offerQuery(shards, name, customerOf, customers[name]) })
	}
	sim.schedule(modelDuration/4, func() {
		sim.poissonArrivals(largeRate, 3*modelDuration/4, func() { sim.offerQuery(shards, "large", customerOf, customers["large"]) })
	})
	sim.schedule(modelDuration/2, func() {
		for shard := range shards {
			sim.replicas[fmt.Sprintf("%d-1", shard)].lost = true
		}
	})
	sim.run(2 * modelDuration)
	offered := 0
	for name, customer := range customers {
		t.Logf("%-8s %+v", name, *customer)
		offered += shards * customer.queries
		if name != "large" {
			require.Equal(t, customer.queries, customer.complete, "%s has incomplete answers", name)
			require.Zero(t, customer.refused, name)
		}
	}
	large := customers["large"]
	require.Positive(t, large.refused)
	require.Positive(t, large.complete, "the large customer must be served too")
	require.Zero(t, large.withoutRetryAfter, "a refusal has no retry-after time")
	t.Logf("%d extra attempts for %d requests", sim.extraAttempts, offered)
	require.LessOrEqual(t, sim.extraAttempts, offered/10+budget.DefaultFloor)
}

// Guards against requests that end twice or never, and against extra attempts beyond the budget, also
// under overload. One replica of every shard does not reply to every second request, and the other one
// takes ten times its usual time.
func TestSilentConnectionsBesideAStragglerStayWithinTheBudget(t *testing.T) {
	const shards = 4
	cases := []struct{ rate, ratio, minCompleteShare float64 }{
		{rate: 12, ratio: budget.DefaultRatio, minCompleteShare: 0.9},
		{rate: 12, ratio: 0.02},
		{rate: 60, ratio: budget.DefaultRatio},
	}
	for _, test := range cases {
		sim := newSimulation(12)
		serviceBudget := budget.Config{Ratio: test.ratio, Floor: budget.DefaultFloor}
		sim.addServiceWithBudget(false, shards, 2, 10*time.Millisecond, budget.NewGroup(budget.GroupConfig{Service: serviceBudget}))
		for shard := range shards {
			sim.replicas[fmt.Sprintf("%d-0", shard)].silentEvery = 2
			sim.replicas[fmt.Sprintf("%d-1", shard)].mean *= 10
		}
		ends := map[int]int{}
		queries, complete, partial := 0, 0, 0
		sim.poissonArrivals(test.rate, modelDuration, func() {
			query, answered, remaining := queries, 0, shards
			queries++
			for shard := range shards {
				sim.offer(shard, "chef", time.Second, func(done, _ bool) {
					ends[query*shards+shard]++
					remaining--
					if done {
						answered++
					}
					switch {
					case remaining == 0 && answered == shards:
						complete++
					case remaining == 0:
						partial++
					}
				})
			}
		})
		sim.run(2 * modelDuration)
		t.Logf("%v/s, budget %v: %d queries, %d complete, %d incomplete, %d extra attempts", test.rate, test.ratio, queries, complete, partial, sim.extraAttempts)
		require.Equal(t, queries, complete+partial)
		for request := range queries * shards {
			require.Equal(t, 1, ends[request], "request %d", request)
		}
		require.LessOrEqual(t, float64(sim.extraAttempts), test.ratio*float64(queries*shards)+budget.DefaultFloor)
		require.GreaterOrEqual(t, float64(complete), test.minCompleteShare*float64(queries))
		require.Positive(t, sim.extraAttempts, "no request was hedged")
	}
}
