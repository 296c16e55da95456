package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Guards against retries of every failed request doubling the load of failing upstreams, which then do
// not recover.
func TestExtraAttemptsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		thousandths := rapid.IntRange(1, 1000).Draw(t, "ratio")
		floor := rapid.IntRange(1, 30).Draw(t, "floor")
		b := New(Config{Ratio: float64(thousandths) / tokenUnits, Floor: floor})
		first, extra := 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "first attempts, 0 is an extra attempt") {
			first += n
			b.AddFirst(n)
			if n == 0 && b.TakeExtra() {
				extra++
			}
		}
		require.LessOrEqual(t, extra*tokenUnits, first*thousandths+floor*tokenUnits)
	})
}

// Guards against a caller that sends each request under a new customer name. If each name got a new
// floor by evicting the bucket of another, the bound would not hold.
func TestManyCustomerNamesShareABoundedNumberOfFloors(t *testing.T) {
	const maxKeys, floor = 4, 3
	g := NewGroup(GroupConfig{Service: Config{Floor: 1000}, Customer: Config{Floor: floor}, MaxKeys: maxKeys})
	extra := 0
	for i := range 1000 {
		name := core.Customer(string(rune('a' + i)))
		for g.TakeExtra("prices", name) {
			extra++
		}
	}
	require.Equal(t, floor*(maxKeys+1), extra)
	require.LessOrEqual(t, g.Size(), 2*maxKeys)
}

// Guards against evicting a used bucket to make room for a new customer, which would give the evicted
// customer a new floor. Evicting a full bucket has no effect.
func TestOnlyFullBucketsAreEvicted(t *testing.T) {
	g := NewGroup(GroupConfig{Customer: Config{Floor: 1}, MaxKeys: 2})
	require.True(t, g.TakeExtra("s", "empty"))
	g.AddFirst("s", "quiet", 1)
	require.True(t, g.TakeExtra("s", "new"), "the full bucket of quiet is evicted")
	require.False(t, g.TakeExtra("s", "empty"), "an empty bucket must not be evicted")
}

// Guards against a customer without tokens consuming those of the service, which would leave none for
// the retries of other customers.
func TestExtraAttemptTakesBothTokensOrNeither(t *testing.T) {
	g := NewGroup(GroupConfig{Service: Config{Floor: 2}, Customer: Config{Floor: 1}})
	require.True(t, g.TakeExtra("s", "large"))
	require.False(t, g.TakeExtra("s", "large"), "the budget of the customer is exhausted")
	require.True(t, g.TakeExtra("s", "small"), "a refused attempt must not take a token of the service")
}
