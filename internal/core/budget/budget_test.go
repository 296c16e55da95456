package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A shard's replicas fail every request and each failure is retried. Without
// the bound the sick upstreams get twice their load and do not recover.
func TestExtraTriesStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		thousandths := rapid.IntRange(1, 1000).Draw(t, "ratio")
		floor := rapid.IntRange(1, 30).Draw(t, "floor")
		b := New(Config{Ratio: float64(thousandths) / unit, Floor: floor})
		first, extra := 0, 0
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "first tries, 0 is an extra") {
			first += n
			b.FirstTry(n)
			if n == 0 && b.TryExtra() {
				extra++
			}
		}
		require.LessOrEqual(t, extra*unit, first*thousandths+floor*unit)
	})
}

// A caller sends each request under a new customer name. Were each name to get
// a fresh floor by pushing out another's bucket, the bound would hold for nobody.
func TestManyNamesShareBoundedFloors(t *testing.T) {
	const maxKeys, floor = 4, 3
	g := NewGroup(GroupConfig{Service: Config{Floor: 1000}, Customer: Config{Floor: floor}, MaxKeys: maxKeys})
	extra := 0
	for i := range 1000 {
		name := core.Customer(string(rune('a' + i)))
		for g.TryExtra("prices", name) {
			extra++
		}
	}
	require.Equal(t, floor*(maxKeys+1), extra)
	require.LessOrEqual(t, g.Size(), 2*maxKeys)
}

// The table is full and a new customer comes. Forgetting a bucket that is used up
// would give its customer a fresh floor; forgetting a full one changes nothing.
func TestFullBucketsAreForgotten(t *testing.T) {
	g := NewGroup(GroupConfig{Customer: Config{Floor: 1}, MaxKeys: 2})
	require.True(t, g.TryExtra("s", "empty"))
	g.FirstTry("s", "quiet", 1)
	require.True(t, g.TryExtra("s", "new"), "quiet's full bucket made room")
	require.False(t, g.TryExtra("s", "empty"), "an empty bucket is kept")
}

// A customer without tokens goes on asking for retries. Were the service's token
// taken each time all the same, the other customers could retry nothing.
func TestAnExtraTryTakesFromBothOrNeither(t *testing.T) {
	g := NewGroup(GroupConfig{Service: Config{Floor: 2}, Customer: Config{Floor: 1}})
	require.True(t, g.TryExtra("s", "large"))
	require.False(t, g.TryExtra("s", "large"), "the customer has no token left")
	require.True(t, g.TryExtra("s", "small"), "the refusal left the service's token")
}
