package load

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is the CPU time and the heap allocations of the process since its start.
type Usage struct {
	CPU            time.Duration
	AllocatedBytes uint64
	Allocations    uint64
}

// ReadUsage reads the process's CPU time and allocations.
func ReadUsage() Usage {
	var times syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{
		CPU:            time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		AllocatedBytes: memory.TotalAlloc,
		Allocations:    memory.Mallocs,
	}
}

// Since returns the difference to an earlier reading.
func (u Usage) Since(earlier Usage) Usage {
	return Usage{
		CPU:            u.CPU - earlier.CPU,
		AllocatedBytes: u.AllocatedBytes - earlier.AllocatedBytes,
		Allocations:    u.Allocations - earlier.Allocations,
	}
}

// Add sums two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		CPU:            u.CPU + other.CPU,
		AllocatedBytes: u.AllocatedBytes + other.AllocatedBytes,
		Allocations:    u.Allocations + other.Allocations,
	}
}
