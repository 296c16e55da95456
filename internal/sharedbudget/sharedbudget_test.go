package sharedbudget

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
)

const goroutines = 4

// Four goroutines retry every request of one customer at the same time. Together they must
// get one floor, not one each.
func TestGoroutinesShareOneFloor(t *testing.T) {
	const firstAttempts = 500
	group := New(budget.GroupConfig{})
	var extra atomic.Int64
	inParallel(func(int) {
		for range firstAttempts {
			group.AddFirst("prices", "chef", 1)
			if group.TakeExtra("prices", "chef") {
				extra.Add(1)
			}
		}
	})
	require.LessOrEqual(t, extra.Load(), int64(goroutines*firstAttempts/10+budget.DefaultFloor))
	require.GreaterOrEqual(t, extra.Load(), int64(goroutines*firstAttempts/10))
}

func inParallel(run func(number int)) {
	var done sync.WaitGroup
	for number := range goroutines {
		done.Add(1)
		go func() {
			defer done.Done()
			run(number)
		}()
	}
	done.Wait()
}

// BenchmarkSharedGroup measures the cost of recording a first attempt: by one goroutine
// without the mutex, and by four concurrent goroutines with it.
func BenchmarkSharedGroup(b *testing.B) {
	const services, customers = 110, 64
	names, callers := make([]string, services), make([]core.Customer, customers)
	for i := range names {
		names[i] = "service-" + strconv.Itoa(i)
	}
	for i := range callers {
		callers[i] = core.Customer("customer-" + strconv.Itoa(i))
	}
	b.Run("alone", func(b *testing.B) {
		group := budget.NewGroup(budget.GroupConfig{})
		for i := range b.N {
			group.AddFirst(names[i%services], callers[i%customers], 1)
		}
	})
	b.Run("four", func(b *testing.B) {
		group := New(budget.GroupConfig{})
		inParallel(func(number int) {
			for i := number; i < b.N; i += goroutines {
				group.AddFirst(names[i%services], callers[i%customers], 1)
			}
		})
	})
}
