package soak_test

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// restartReplica lets a replica die and start again under its id, on the same address. One time in
// two it dies in the dark: its connections hang, and only its new entry tells. One time in four it
// drained before.
func (w *world) restartReplica(f fault) {
	one := w.pick(f.draw)
	if one == nil {
		return
	}
	if f.draw>>16%4 == 0 {
		w.store.Put(one.Key(), one.entry(platformtest.StateDraining))
	}
	w.mutex.Lock()
	one.gone = true
	again, err := platformtest.StartReplica(one.ID, one.Service, records(one.Service))
	require.NoError(w.t, err)
	again.SetWork(usualWork)
	w.made++
	next := &upstream{Replica: again, proxy: one.proxy, dataCentre: one.dataCentre, born: max(time.Now().UnixMilli(), one.born+1)}
	w.replicas[fmt.Sprintf("%s#%d", one.ID, w.made)] = next
	w.mutex.Unlock()
	if f.draw>>20%2 == 0 {
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

// writeForeign writes entries that name no replica: one in place of a live replica's own for a
// while, and one that lists a trap, which no request may reach.
func (w *world) writeForeign(f fault) {
	one := w.pick(f.draw)
	if one == nil {
		return
	}
	trap, err := platformtest.StartReplica(fmt.Sprintf("i-trap-%d", f.draw), one.Service, records(one.Service))
	require.NoError(w.t, err)
	defer trap.Close()
	spoiled := func(entry map[string]any) map[string]any {
		switch f.draw >> 16 % 5 {
		case 0:
			entry["state"] = "resting"
		case 1:
			delete(entry, "service")
		case 2:
			entry["slots"] = "two"
		case 3:
			entry["born"] = 0.5
		case 4:
			entry["zone"] = nil
		}
		return entry
	}
	w.store.Put(trap.Key(), spoiled(trap.Entry(one.dataCentre, platformtest.StateReady)))
	w.store.Put(one.Key(), spoiled(one.entry(platformtest.StateReady)))
	time.Sleep(f.lasts)
	if arrived := len(trap.Arrivals()); arrived > 0 {
		w.fail("%d requests reached a replica that no valid entry names", arrived)
	}
	w.store.Remove(trap.Key())
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
	w.misbehave(stalled, f.lasts, 1, func(uint64) platformtest.Act { return platformtest.Hang })
}
