package entrylimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const noLimit = 1 << 30

func fill(l *Limiter, customer core.Customer) int {
	count := 0
	for l.Enter(customer, noLimit) == Admitted {
		count++
	}
	return count
}

// Small callers get "overloaded" all day although they ask little: the large
// customer sends more than the entry can hold and takes each place that frees.
// It must find its share shrink instead, and a newcomer must always get in.
func TestTheLargeCustomerKeepsNobodyOut(t *testing.T) {
	l := New(Config{Places: 90, Headroom: 4})
	require.Equal(t, 72, fill(l, "large"), "alone: 4/5 of the places")
	require.Equal(t, Admitted, l.Enter("small", noLimit))
	l.Leave("small", time.Millisecond)
	for range 1000 {
		l.Leave("large", time.Millisecond)
		fill(l, "small")
		fill(l, "large")
	}
	require.InDelta(t, 40, l.counts["large"], 1, "both want more: 4/9 each")
	require.InDelta(t, 40, l.counts["small"], 1)
	require.Equal(t, Admitted, l.Enter("newcomer", noLimit))
}

func TestEachRefusalNamesItsBound(t *testing.T) {
	l := New(Config{Places: 2, Headroom: 1})
	require.Equal(t, CustomerLimit, l.Enter("a", 0))
	require.Equal(t, Admitted, l.Enter("a", 5))
	require.Equal(t, UnfairShare, l.Enter("a", 5))
	require.Equal(t, Admitted, l.Enter("b", 5))
	require.Equal(t, Full, l.Enter("c", 5))
	require.Equal(t, minRetryAfter, l.RetryAfter())
	l.Leave("a", 300*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, l.RetryAfter())
}

// Places that are not given back, or given back twice, would close the entry
// or open it without bound.
func TestPlacesAreCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{Places: rapid.IntRange(1, 12).Draw(t, "places"), Headroom: rapid.IntRange(1, 4).Draw(t, "headroom")})
		var held []core.Customer
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			customer := rapid.SampledFrom([]core.Customer{"a", "b", "c"}).Draw(t, "customer")
			if rapid.Bool().Draw(t, "enter") {
				if l.Enter(customer, 5) == Admitted {
					held = append(held, customer)
				}
			} else if len(held) > 0 {
				l.Leave(held[0], time.Millisecond)
				held = held[1:]
			}
			require.Equal(t, len(held), l.Total())
			require.LessOrEqual(t, l.Total(), l.config.Places)
		}
	})
}
