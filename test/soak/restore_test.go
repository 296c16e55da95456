package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	// longestAway is the longest that a store is away before it comes back from a copy.
	longestAway = 800 * time.Millisecond
	// writtenAgain is the time within which writers have written again what a store has lost.
	writtenAgain = 2 * time.Second
)

// restore takes the store away for a moment and brings it back from a copy. Each writer writes again what
// was lost at a moment of its own.
func (w *world) restore(backup *platformtest.Backup, f fault) {
	random := rand.New(rand.NewPCG(f.draw, 1))
	w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Reset })
	w.storeTrouble(time.Duration(random.Int64N(int64(longestAway))))
	lost := w.store.Restore(backup)
	w.note("the store is back from a copy, %d writes are lost", len(lost))
	moments := map[string]time.Duration{}
	var writing sync.WaitGroup
	for _, one := range lost {
		moment, drawn := moments[one.Key()]
		if !drawn {
			moment = time.Duration(random.Int64N(int64(writtenAgain)))
			moments[one.Key()] = moment
		}
		writing.Go(func() {
			time.Sleep(moment)
			w.store.RewriteLost(one)
		})
	}
	writing.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.troubled == 0 {
		w.storeCalm = time.Now()
	}
}

// restoreInCalm brings the store back from a copy of before the calm changes and publishes a change at once, while
// its revisions are lower than what the nodes know. One node is cut off from the store meanwhile:
// the others are to tell it.
func (w *world) restoreInCalm(backup *platformtest.Backup) {
	w.note("a restore in calm")
	alone := w.nodes[w.random.IntN(nodeCount)]
	alone.store.SetBoth(faultproxy.Faults{Cut: true})
	var restoring sync.WaitGroup
	restoring.Go(func() { w.restore(backup, fault{draw: w.seed}) })
	time.Sleep(longestAway)
	w.configure()
	restoring.Wait()
	time.Sleep(stable + applyWait + 2*slack)
	alone.store.SetBoth(faultproxy.Faults{})
	alone.store.Reset()
	time.Sleep(stable)
}

// logLine is what the checks read of a line of a node's log.
type logLine struct {
	Event, Node string
	Version     uint64
}

// checkVersion checks that no process puts an older configuration in force than the highest so far, and returns the
// highest with this line.
func (w *world) checkVersion(one *vm, read logLine, highest uint64) uint64 {
	switch read.Event {
	case "node_started":
		return 0
	case "config_in_force":
		if read.Version < highest {
			w.fail("vm %s put version %d in force after %d", one.ip, read.Version, highest)
		}
		return max(highest, read.Version)
	default:
		return highest
	}
}
