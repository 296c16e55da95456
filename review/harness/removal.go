package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// removalWhileReadersAreDark lets the nodes that read the store lose power, and then removes the entry of a replica that
// leaves as planned and serves on. The other nodes must send it nothing once drainTime has passed.
func removalWhileReadersAreDark(w *world, trouble bool) (broken bool, err error) {
	const (
		work     = 90 * time.Millisecond
		deadline = 4 * time.Second
		interval = 25 * time.Millisecond
		// readInterval is within which a node that reads the store calls it.
		readInterval = 1500 * time.Millisecond
		removeAfter  = 300 * time.Millisecond
		watchTime    = 8 * time.Second
		// mostDark is the share of the machines that may lose power at once.
		mostDark = 0.6
	)
	zones := []string{"hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"}
	w.store.Publish(config(platformtest.KindIdempotent, deadline))
	byZone := map[string]*replica{}
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		if byZone[zone], err = w.startReplica("i-"+zone, zone, 6, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes(zones...); err != nil {
		return false, err
	}
	time.Sleep(2 * stability)
	var lit []*node
	survivors := map[string]int{}
	for _, n := range w.nodes {
		if n.store.calledWithin(readInterval) {
			w.note("%s reads the store", n.name)
			if trouble {
				// A stopped process is as silent as a machine without power.
				if err := n.signal(syscall.SIGSTOP); err != nil {
					return false, err
				}
			}
			continue
		}
		lit = append(lit, n)
		survivors[n.zone]++
	}
	if float64(len(zones)-len(lit)) > mostDark*float64(len(zones)) {
		return false, fmt.Errorf("%d of %d nodes read the store", len(zones)-len(lit), len(zones))
	}
	leaving := byZone["hall-a"]
	for zone, r := range byZone {
		if survivors[zone] > survivors[leaving.zone] {
			leaving = r
		}
	}
	requests := int(watchTime / interval)
	var removed time.Time
	running := w.inParallel(requests, interval, func(i int) {
		if i == int(removeAfter/interval) {
			removed = leaving.remove()
		}
		w.send(lit[i%len(lit)], "GET", routeHost, routePath+"7f", fmt.Sprintf("request-%03d", i), nil, deadline)
	})
	running.Wait()
	late := 0
	for i := range requests {
		id := fmt.Sprintf("request-%03d", i)
		if at, arrived := leaving.arrivedAt(id); arrived && at.Sub(removed) > drainTime {
			w.note("DRAIN: %s reached %s %.3f s after the store had removed it", id, leaving.id, at.Sub(removed).Seconds())
			late++
		}
	}
	w.note("%d of %d requests reached %s too late", late, requests, leaving.id)
	return late > 0, nil
}
