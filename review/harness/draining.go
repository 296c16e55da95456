package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// drainWhileBodiesWait sends requests with bodies to a service with one replica, which turns slow and is replaced: its
// successor is ready, and it reports that it is draining. Requests whose bodies wait at the nodes until the replica has
// room for them must not reach it once drainTime has passed.
func drainWhileBodiesWait(w *world, trouble bool) (broken bool, err error) {
	const (
		work       = 540 * time.Millisecond
		slowFactor = 8
		deadline   = 6 * time.Second
		slots      = 6
		warmUps    = 30
		requests   = 24
		bodyBytes  = 256 << 10
		// settleTime is until all requests of the burst are at the replica or wait at a node.
		settleTime = 300 * time.Millisecond
	)
	w.store.Publish(config(platformtest.KindNonIdempotent, deadline))
	leaving, err := w.startReplica("i-leaving", "hall-a", slots, work)
	if err != nil {
		return false, err
	}
	if err := w.startNodes("hall-a", "hall-a", "hall-a", "hall-a"); err != nil {
		return false, err
	}
	send := func(name string, i int, body []byte) {
		w.send(w.nodes[i%len(w.nodes)], "POST", routeHost, routePath+"7f", fmt.Sprintf("%s-%02d", name, i), body, deadline)
	}
	w.inParallel(warmUps, work/4, func(i int) { send("warm-up", i, nil) }).Wait()
	time.Sleep(stability)
	if trouble {
		leaving.setWork(slowFactor * work)
	}
	burst := w.inParallel(requests, 0, func(i int) { send("request", i, bytes.Repeat([]byte{'b'}, bodyBytes)) })
	time.Sleep(settleTime)
	var drained time.Time
	if trouble {
		if _, err := w.startReplica("i-successor", "hall-a", slots, work); err != nil {
			return false, err
		}
		drained = leaving.report(platformtest.StateDraining)
	}
	burst.Wait()
	late := 0
	for i := range requests {
		id := fmt.Sprintf("request-%02d", i)
		at, arrived := leaving.arrivedAt(id)
		if trouble && arrived && at.Sub(drained) > drainTime {
			w.note("DRAIN: %s reached %s %.3f s after the store had it as draining", id, leaving.id, at.Sub(drained).Seconds())
			late++
		}
	}
	w.note("%d of %d requests reached %s too late", late, requests, leaving.id)
	return late > 0, nil
}
