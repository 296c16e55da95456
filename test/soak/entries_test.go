package soak_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// restartReplica lets a replica die and start again under its id, on the same address. Three times in
// four it dies in the dark, with requests in work: its connections hang, and only its new entry
// tells. One time in four it drained before.
func (w *world) restartReplica(f fault) {
	one := w.pick(f.draw)
	if one == nil {
		return
	}
	if f.draw>>16%4 == 0 {
		w.store.Put(one.Key(), one.entry(platformtest.StateDraining))
	}
	dark := f.draw>>20%4 != 0
	if dark {
		one.SetServiceTime(longWork)
		time.Sleep(longWork / 2)
	}
	w.mutex.Lock()
	one.gone = true
	again, err := platformtest.StartReplica(one.ID, one.Service, records(one.Service))
	require.NoError(w.t, err)
	again.SetServiceTime(usualWork)
	again.SetCrashOn(deadly)
	w.made++
	next := &upstream{Replica: again, proxy: one.proxy, dataCentre: one.dataCentre, born: max(time.Now().UnixMilli(), one.born+1)}
	again.OnCrash(func() { w.revive(next) })
	w.replicas[fmt.Sprintf("%s#%d", one.ID, w.made)] = next
	w.mutex.Unlock()
	if dark {
		one.proxy.Silence()
	} else {
		one.Close()
	}
	next.proxy.Retarget(next.Address())
	time.Sleep(f.lasts / 4)
	w.store.Put(next.Key(), next.entry(platformtest.StateReady))
	time.Sleep(f.lasts)
	one.Close()
}

// spoilers make an entry one that names no replica, each in its way.
var spoilers = []func(entry map[string]any){
	func(entry map[string]any) { entry["state"] = "resting" },
	func(entry map[string]any) { delete(entry, "version") },
	func(entry map[string]any) { entry["slots"] = "two" },
	func(entry map[string]any) { entry["born"] = 0.5 },
	func(entry map[string]any) { entry["zone"] = nil },
}

// writeForeign writes entries that name no replica: one in place of a live replica's own for a
// while, and some that list traps, which no request may reach.
func (w *world) writeForeign(f fault) {
	one := w.pick(f.draw)
	if one == nil {
		return
	}
	var traps []*platformtest.Replica
	for i, spoil := range spoilers {
		trap, err := platformtest.StartReplica(fmt.Sprintf("i-trap-%d-%d", f.draw, i), one.Service, records(one.Service))
		require.NoError(w.t, err)
		defer trap.Close()
		entry := trap.Entry(one.dataCentre, platformtest.StateReady)
		spoil(entry)
		w.store.Put(trap.Key(), entry)
		traps = append(traps, trap)
	}
	own := one.entry(platformtest.StateReady)
	spoilers[f.draw>>16%uint64(len(spoilers))](own)
	w.store.Put(one.Key(), own)
	time.Sleep(f.lasts)
	for _, trap := range traps {
		if arrived := len(trap.Arrivals()); arrived > 0 {
			w.fail("%d requests reached %s, which no valid entry names", arrived, trap.ID)
		}
		w.store.Remove(trap.Key())
	}
	w.mutex.Lock()
	live := one.drainedAt.IsZero() && !one.gone
	w.mutex.Unlock()
	if live {
		w.store.Put(one.Key(), one.entry(platformtest.StateReady))
	}
}

// stall lets all replicas of two shards stand still, so that questions lack more than they may.
func (w *world) stall(f fault) {
	w.mutex.Lock()
	names := shards(w.partition)
	var stalled []*upstream
	for _, one := range w.replicas {
		if one.Service == names[0] || one.Service == names[1] {
			stalled = append(stalled, one)
		}
	}
	w.mutex.Unlock()
	w.misbehave(stalled, f.lasts, 1, func(uint64) platformtest.Behaviour { return platformtest.Hang })
}
