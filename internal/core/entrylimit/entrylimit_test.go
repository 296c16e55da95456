package entrylimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const unlimited = 1 << 30

func acquireAll(l *Limiter, customer core.Customer) int {
	count := 0
	for l.Acquire(customer, unlimited) == Admitted {
		count++
	}
	return count
}

// Guards against a large customer that sends more than the entry can hold and takes each slot that
// becomes free, so that the requests of small customers are refused. Its share must shrink instead,
// and a new customer must always be admitted.
func TestLargeCustomerDoesNotBlockOthers(t *testing.T) {
	l := New(Config{MaxInFlight: 90, Headroom: 4})
	require.Equal(t, 72, acquireAll(l, "large"), "a single customer gets 4/5 of the slots")
	require.Equal(t, Admitted, l.Acquire("small", unlimited))
	l.Release("small", time.Millisecond)
	for range 1000 {
		l.Release("large", time.Millisecond)
		acquireAll(l, "small")
		acquireAll(l, "large")
	}
	require.InDelta(t, 40, l.inFlightByCustomer["large"], 1, "two competing customers get 4/9 of the slots each")
	require.InDelta(t, 40, l.inFlightByCustomer["small"], 1)
	require.Equal(t, Admitted, l.Acquire("newcomer", unlimited))
}

func TestEachRefusalReportsItsReason(t *testing.T) {
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

// Guards against slots that are not released, which would block the entry, and slots released twice,
// which would remove the limit.
func TestInFlightRequestsAreCountedExactly(t *testing.T) {
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
