package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	// maxStoreOutage is the longest outage of the store before it is restored from a backup.
	maxStoreOutage = 800 * time.Millisecond
	// rewriteWindow is the time within which writers repeat the writes that the store has lost.
	rewriteWindow = 2 * time.Second
)

// restore stops the store for a random time and restores it from a backup. The writer of each key repeats its
// lost writes after a random delay.
func (cl *cluster) restore(backup *platformtest.Backup, f fault) {
	random := rand.New(rand.NewPCG(f.draw, 1))
	cl.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Reset })
	cl.holdStoreFault(time.Duration(random.Int64N(int64(maxStoreOutage))))
	lost := cl.store.Restore(backup)
	cl.logEvent("store restored from a backup, %d writes lost", len(lost))
	delays := map[string]time.Duration{}
	var writing sync.WaitGroup
	for _, item := range lost {
		delay, known := delays[item.Key()]
		if !known {
			delay = time.Duration(random.Int64N(int64(rewriteWindow)))
			delays[item.Key()] = delay
		}
		writing.Go(func() {
			time.Sleep(delay)
			cl.store.RewriteLost(item)
		})
	}
	writing.Wait()
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if cl.activeStoreFaults == 0 {
		cl.storeHealthySince = time.Now()
	}
}

// restoreWhileHealthy restores the store from a backup that precedes the last changes, and publishes a change at
// once, while its revisions are lower than those of the nodes. One node is cut off from the store meanwhile: it
// must get the change from the other nodes.
func (cl *cluster) restoreWhileHealthy(backup *platformtest.Backup) {
	cl.logEvent("restore without other faults")
	isolated := cl.nodes[cl.random.IntN(nodeCount)]
	isolated.store.SetBoth(faultproxy.Faults{Blocked: true})
	var restoring sync.WaitGroup
	restoring.Go(func() { cl.restore(backup, fault{draw: cl.seed}) })
	time.Sleep(maxStoreOutage)
	cl.configure()
	restoring.Wait()
	time.Sleep(stablePeriod + applyBound + 2*slack)
	isolated.store.SetBoth(faultproxy.Faults{})
	isolated.store.Reset()
	time.Sleep(stablePeriod)
}

// logLine holds the fields of a node's log line that the checks read.
type logLine struct {
	Event, Node string
	Version     uint64
}

// checkVersion checks that no process puts in force a version lower than its highest so far, and returns the highest
// version including this line.
func (cl *cluster) checkVersion(node *vm, read logLine, highest uint64) uint64 {
	switch read.Event {
	case "node_started":
		return 0
	case "config_in_force":
		if read.Version < highest {
			cl.recordViolation("vm %s put version %d in force after %d", node.ip, read.Version, highest)
		}
		return max(highest, read.Version)
	default:
		return highest
	}
}
