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
	for l.Acquire(customer, noLimit) == Admitted {
		count++
	}
	return count
}

// Small callers get "overloaded" all day although they ask little: the large
// customer sends more than the entry can hold and takes each place that frees.
// It must find its share shrink instead, and a newcomer must always get in.
func TestTheLargeCustomerKeepsNobodyOut(t *testing.T) {
	l := New(Config{MaxInFlight: 90, Headroom: 4})
	require.Equal(t, 72, fill(l, "large"), "alone: 4/5 of the places")
	require.Equal(t, Admitted, l.Acquire("small", noLimit))
	l.Release("small", time.Millisecond)
	for range 1000 {
		l.Release("large", time.Millisecond)
		fill(l, "small")
		fill(l, "large")
	}
	require.InDelta(t, 40, l.counts["large"], 1, "both want more: 4/9 each")
	require.InDelta(t, 40, l.counts["small"], 1)
	require.Equal(t, Admitted, l.Acquire("newcomer", noLimit))
}

func TestEachRefusalNamesItsBound(t *testing.T) {
	l := New(Config{MaxInFlight: 2, Headroom: 1})
	require.Equal(t, CustomerLimitReached, l.Acquire("a", 0))
	require.Equal(t, Admitted, l.Acquire("a", 5))
	require.Equal(t, ShareExceeded, l.Acquire("a", 5))
	require.Equal(t, Admitted, l.Acquire("b", 5))
	require.Equal(t, Full, l.Acquire("c", 5))
	require.Equal(t, minRetryAfter, l.RetryAfter())
	l.Release("a", 300*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, l.RetryAfter())
}

// Places that are not given back, or given back twice, would close the entry
// or open it without bound.
func TestPlacesAreCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{MaxInFlight: rapid.IntRange(1, 12).Draw(t, "places"), Headroom: rapid.IntRange(1, 4).Draw(t, "headroom")})
		var held []core.Customer
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			customer := rapid.SampledFrom([]core.Customer{"a", "b", "c"}).Draw(t, "customer")
			if rapid.Bool().Draw(t, "enter") {
				if l.Acquire(customer, 5) == Admitted {
					held = append(held, customer)
				}
			} else if len(held) > 0 {
				l.Release(held[0], time.Millisecond)
				held = held[1:]
			}
			require.Equal(t, len(held), l.InFlight())
			require.LessOrEqual(t, l.InFlight(), l.config.MaxInFlight)
		}
	})
}
