package load

import (
	"runtime"
	"syscall"
	"time"
)

// Usage is what the whole process has used since its start.
type Usage struct {
	CPU        time.Duration
	Allocated  uint64
	Allocation uint64
}

// ReadUsage reads the process's CPU time and allocations.
func ReadUsage() Usage {
	var times syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{
		CPU:        time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		Allocated:  memory.TotalAlloc,
		Allocation: memory.Mallocs,
	}
}

// Since returns what was used after an earlier reading.
func (u Usage) Since(earlier Usage) Usage {
	return Usage{
		CPU:        u.CPU - earlier.CPU,
		Allocated:  u.Allocated - earlier.Allocated,
		Allocation: u.Allocation - earlier.Allocation,
	}
}

// Add sums two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		CPU:        u.CPU + other.CPU,
		Allocated:  u.Allocated + other.Allocated,
		Allocation: u.Allocation + other.Allocation,
	}
}
