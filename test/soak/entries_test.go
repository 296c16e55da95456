package soak_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// restartReplica ends a replica and starts it again under the same id and address. With a probability
// of 3/4 it ends silently, with requests in flight: its connections hang, and only its new registry
// entry shows the restart. With a probability of 1/4 it was draining before.
func (cl *cluster) restartReplica(f fault) {
	replica := cl.pickReplica(f.draw)
	if replica == nil {
		return
	}
	if f.draw>>16%4 == 0 {
		cl.store.Put(replica.Key(), replica.entry(platformtest.StateDraining))
	}
	silent := f.draw>>20%4 != 0
	if silent {
		replica.SetServiceTime(longServiceTime)
		time.Sleep(longServiceTime / 2)
	}
	cl.mutex.Lock()
	replica.crashed = true
	restarted, err := platformtest.StartReplica(replica.ID, replica.Service, records(replica.Service))
	require.NoError(cl.t, err)
	restarted.SetServiceTime(usualServiceTime)
	restarted.SetCrashOn(crashesReplica)
	cl.replicasStarted++
	next := &upstream{Replica: restarted, proxy: replica.proxy, dataCentre: replica.dataCentre, born: max(time.Now().UnixMilli(), replica.born+1)}
	restarted.OnCrash(func() { cl.restartAfterCrash(next) })
	cl.replicas[fmt.Sprintf("%s#%d", replica.ID, cl.replicasStarted)] = next
	cl.mutex.Unlock()
	if silent {
		replica.proxy.Silence()
	} else {
		replica.Close()
	}
	next.proxy.Retarget(next.Address())
	time.Sleep(f.duration / 4)
	cl.store.Put(next.Key(), next.entry(platformtest.StateReady))
	time.Sleep(f.duration)
	replica.Close()
}

// corruptions make a registry entry invalid, each in a different way.
var corruptions = []func(entry map[string]any){
	func(entry map[string]any) { entry["state"] = "resting" },
	func(entry map[string]any) { delete(entry, "version") },
	func(entry map[string]any) { entry["slots"] = "two" },
	func(entry map[string]any) { entry["born"] = 0.5 },
	func(entry map[string]any) { entry["zone"] = nil },
}

// writeInvalidEntries writes invalid registry entries: one that replaces a live replica's entry for
// a while, and some for decoy replicas, which no request may reach.
func (cl *cluster) writeInvalidEntries(f fault) {
	replica := cl.pickReplica(f.draw)
	if replica == nil {
		return
	}
	var decoys []*platformtest.Replica
	for i, corrupt := range corruptions {
		decoy, err := platformtest.StartReplica(fmt.Sprintf("i-trap-%d-%d", f.draw, i), replica.Service, records(replica.Service))
		require.NoError(cl.t, err)
		defer decoy.Close()
		entry := decoy.Entry(replica.dataCentre, platformtest.StateReady)
		corrupt(entry)
		cl.store.Put(decoy.Key(), entry)
		decoys = append(decoys, decoy)
	}
	corrupted := replica.entry(platformtest.StateReady)
	corruptions[f.draw>>16%uint64(len(corruptions))](corrupted)
	cl.store.Put(replica.Key(), corrupted)
	time.Sleep(f.duration)
	for _, decoy := range decoys {
		if arrived := len(decoy.Arrivals()); arrived > 0 {
			cl.recordViolation("%d requests reached %s, which has no valid entry", arrived, decoy.ID)
		}
		cl.store.Remove(decoy.Key())
	}
	cl.mutex.Lock()
	live := replica.drainedAt.IsZero() && !replica.crashed
	cl.mutex.Unlock()
	if live {
		cl.store.Put(replica.Key(), replica.entry(platformtest.StateReady))
	}
}

// hangShards makes all replicas of two shards hang, so that coverage falls below the minimum.
func (cl *cluster) hangShards(f fault) {
	cl.mutex.Lock()
	names := shards(cl.partition)
	var hanging []*upstream
	for _, replica := range cl.replicas {
		if replica.Service == names[0] || replica.Service == names[1] {
			hanging = append(hanging, replica)
		}
	}
	cl.mutex.Unlock()
	cl.misbehave(hanging, f.duration, 1, func(uint64) platformtest.Behaviour { return platformtest.Hang })
}
