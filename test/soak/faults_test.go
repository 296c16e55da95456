package soak_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// fault is one entry of a schedule: it begins at a time and lasts for a while.
type fault struct {
	at, lasts time.Duration
	kind      kind
	node      int
	draw      uint64
}

// kind is a kind of fault.
type kind string

// The kinds of faults, named as the schedule tells them.
const (
	killNode        kind = "kill"
	stopNode        kind = "planned stop"
	pauseNode       kind = "pause"
	storeBusy       kind = "store turns all away"
	storeSilent     kind = "store silent"
	storeCut        kind = "store cut off"
	storeForgets    kind = "store forgets history"
	replicaActs     kind = "replica misbehaves"
	replicaDrains   kind = "replica drains"
	configChanges   kind = "configuration changes"
	storeSlow       kind = "store slow"
	linkCut         kind = "links cut one way"
	nodeIsolated    kind = "parted from all nodes"
	linkPoor        kind = "links lossy and late"
	linkSilent      kind = "links silent"
	replicaWay      kind = "way to a replica disturbed"
	replicaReplaced kind = "replica replaced on its address"
	shardsChange    kind = "shards change"
	settingsChange  kind = "settings change"
	serviceFails    kind = "service fails"
	serviceActs     kind = "service misbehaves"
	allKilled       kind = "all nodes killed"
	replicaRestarts kind = "replica starts again under its id"
	foreignEntry    kind = "entry of another writer"
	shardsShort     kind = "several shards stand still"
	evacuated       kind = "a data centre evacuated"
	storeRestored   kind = "store comes back from a copy"
	deadlyComes     kind = "a request ends the replicas that run it"
)

// drawn are the kinds that a schedule draws from, some of them several times: what replicas
// do wrong shows only while requests meet it. Further ones go to the end, so that a kept seed
// still draws from those of its time.
var drawn = []kind{
	killNode, stopNode, pauseNode, storeBusy, storeSilent, storeCut, storeForgets,
	replicaActs, replicaActs, replicaActs, replicaDrains, configChanges,
	storeSlow, linkCut, nodeIsolated, linkPoor, linkSilent,
	replicaWay, replicaWay, replicaReplaced, shardsChange, settingsChange,
	serviceFails, serviceActs, serviceActs, allKilled,
	replicaRestarts, replicaRestarts, foreignEntry, shardsShort, evacuated,
	storeRestored, storeRestored, deadlyComes, deadlyComes,
}

// schedule draws the faults of a seed. They come in series and overlap.
func schedule(random *rand.Rand, length time.Duration, drawn []kind) []fault {
	var faults []fault
	for at := time.Second; at < length; at += time.Duration(100+random.IntN(900)) * time.Millisecond {
		faults = append(faults, fault{
			at: at, lasts: time.Duration(200+random.IntN(2500)) * time.Millisecond,
			kind: drawn[random.IntN(len(drawn))], node: random.IntN(nodeCount), draw: random.Uint64(),
		})
	}
	return faults
}

// play carries a schedule out and returns when all of it is over.
func (w *world) play(faults []fault) {
	var running sync.WaitGroup
	for _, one := range faults {
		time.Sleep(time.Until(w.began.Add(one.at)))
		w.note("%s, node %d, %v", one.kind, one.node, one.lasts)
		running.Add(1)
		go func() {
			defer running.Done()
			w.carryOut(one)
		}()
	}
	running.Wait()
}

func (w *world) carryOut(f fault) {
	one := w.nodes[f.node]
	switch f.kind {
	case killNode, stopNode, pauseNode:
		w.disturb(one, f)
	case storeBusy:
		w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Busy })
		w.storeTrouble(f.lasts)
	case storeSilent:
		w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Silent })
		w.storeTrouble(f.lasts)
	case storeCut:
		// One node alone is cut off; the others are to tell it.
		over := one.trouble()
		defer over()
		one.store.SetBoth(faultproxy.Faults{Cut: true})
		time.Sleep(f.lasts)
		one.store.SetBoth(faultproxy.Faults{})
		one.store.Reset()
	case storeForgets:
		w.store.DropHistory()
	case replicaActs:
		if one := w.pick(f.draw); one != nil {
			w.misbehave([]*upstream{one}, f.lasts, 1+f.draw>>16%4, func(uint64) platformtest.Behaviour { return platformtest.Behaviour(f.draw >> 8 % firstActs) })
		}
	case serviceActs:
		// All its replicas, so that none can be used in place of the others, and rarely enough
		// for them to stay in use.
		w.misbehave(w.all(f.draw), f.lasts, 4+f.draw>>16%4, func(count uint64) platformtest.Behaviour { return platformtest.Behaviour((f.draw>>8 + count) % acts) })
	case allKilled:
		w.killAll(f)
	case replicaDrains:
		w.drain(f)
	case configChanges:
		w.configure()
	case shardsChange:
		w.repartition()
	case storeSlow:
		w.store.SetDelay(time.Duration(50+f.draw%750) * time.Millisecond)
		w.storeTrouble(f.lasts)
	case serviceFails:
		// What is tried again then must keep the bound.
		w.misbehave(w.all(f.draw), f.lasts, 1, func(uint64) platformtest.Behaviour { return platformtest.Fail })
	case settingsChange:
		w.changeSettings(one, f)
	case replicaRestarts:
		w.restartReplica(f)
	case foreignEntry:
		w.writeForeign(f)
	case shardsShort:
		w.stall(f)
	case evacuated:
		w.evacuate(f)
	case storeRestored:
		backup := w.store.Backup()
		time.Sleep(f.lasts)
		w.restore(backup, f)
	case deadlyComes:
		w.sendDeadly(f)
	case replicaWay, replicaReplaced:
		w.disturbReplica(f)
	default:
		w.disturbLinks(one, f)
	}
}

// disturb kills, stops or pauses a process that nothing else happens to.
func (w *world) disturb(one *vm, f fault) {
	if !one.hold() {
		return
	}
	defer one.release()
	over := one.trouble()
	defer over()
	switch f.kind {
	case killNode:
		_ = one.signal(syscall.SIGKILL).Wait()
		time.Sleep(f.lasts / 4)
		w.launch(one)
	case stopNode:
		// Work that takes long is in work when the node ends.
		w.setWork(longWork)
		defer w.setWork(usualWork)
		one.mutex.Lock()
		one.planned = true
		one.mutex.Unlock()
		cmd := one.signal(syscall.SIGTERM)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = cmd.Wait()
		}()
		select {
		case <-ended:
		case <-time.After(graceSeconds*time.Second + slack):
			w.fail("vm %s did not stop within its time", one.ip)
			_ = cmd.Process.Kill()
			<-ended
		}
		w.launch(one)
	case pauseNode:
		one.signal(syscall.SIGSTOP)
		time.Sleep(f.lasts)
		one.signal(syscall.SIGCONT)
	}
}

// killAll kills all nodes at once while the store turns everybody away. Callers keep their
// addresses and ask nodes that know nothing yet.
func (w *world) killAll(f fault) {
	w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Busy })
	var killed sync.WaitGroup
	for _, one := range w.nodes {
		if !one.hold() {
			continue
		}
		over := one.trouble()
		killed.Go(func() {
			defer one.release()
			defer over()
			_ = one.signal(syscall.SIGKILL).Wait()
			w.launch(one)
		})
	}
	w.storeTrouble(f.lasts)
	killed.Wait()
}

// setWork sets how long replicas work on each request.
func (w *world) setWork(work time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, one := range w.replicas {
		one.SetServiceTime(work)
	}
}

// storeTrouble ends a trouble of the whole store after a while. Troubles overlap: the store
// is calm when the last one has ended.
func (w *world) storeTrouble(lasts time.Duration) {
	w.mutex.Lock()
	w.troubled++
	w.storeCalm = time.Now().Add(time.Hour)
	w.mutex.Unlock()
	time.Sleep(lasts)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.troubled--
	if w.troubled == 0 {
		w.store.SetFault(nil)
		w.store.SetDelay(0)
		w.storeCalm = time.Now()
	}
}

// all draws a service and returns its replicas by their ids, one in two times those of the
// service whose requests must run at most once: what goes wrong there is what must never be
// said wrongly.
func (w *world) all(draw uint64) []*upstream {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	services := w.services()
	service := services[draw%uint64(len(services))]
	if draw>>32%2 == 0 {
		service = "invoices"
	}
	var all []*upstream
	for _, id := range slices.Sorted(maps.Keys(w.replicas)) {
		if one := w.replicas[id]; one.Service == service {
			all = append(all, one)
		}
	}
	return all
}

// pick draws a replica that neither drains nor has crashed; nil is none.
func (w *world) pick(draw uint64) *upstream {
	for _, one := range w.all(draw) {
		w.mutex.Lock()
		usable := one.drainedAt.IsZero() && !one.gone
		w.mutex.Unlock()
		if usable {
			return one
		}
	}
	return nil
}

// acts is the number of ways in which a stand-in of a replica answers, firstActs that of the
// time of the first seeds.
const (
	firstActs = uint64(platformtest.Hang + 1)
	acts      = uint64(platformtest.DelayedDuplicate + 1)
)

// misbehave makes replicas answer wrongly now and then for a while.
func (w *world) misbehave(replicas []*upstream, lasts time.Duration, every uint64, wrong func(count uint64) platformtest.Behaviour) {
	for _, one := range replicas {
		var count atomic.Uint64
		one.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour {
			if n := count.Add(1); n%every == 0 {
				return wrong(n / every)
			}
			return platformtest.Answer
		})
	}
	time.Sleep(lasts)
	for _, one := range replicas {
		one.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return platformtest.Answer })
	}
}

// drain lets another replica start, drains one, and ends it later.
func (w *world) drain(f fault) {
	one := w.pick(f.draw)
	if one == nil {
		return
	}
	w.addReplica(one.Service)
	w.mutex.Lock()
	one.drainedAt = time.Now()
	w.mutex.Unlock()
	w.store.Put(one.Key(), one.entry(platformtest.StateDraining))
	w.requireLeft(fmt.Sprintf("replica %s, which drains,", one.ID), func() int { return len(one.Arrivals()) })
	w.store.Remove(one.Key())
	one.Close()
}

// requireLeft checks that what is to get no new work gets none once the time for that is over.
func (w *world) requireLeft(what string, arrivals func() int) {
	time.Sleep(drainWait + slack)
	w.mutex.Lock()
	calm := time.Since(w.storeCalm) >= stable+drainWait+slack
	w.mutex.Unlock()
	for _, node := range w.nodes {
		calm = calm && node.calmFor(stable+drainWait+slack)
	}
	before := arrivals()
	time.Sleep(time.Second)
	if after := arrivals(); calm && after > before {
		w.fail("%s got %d requests later than is allowed", what, after-before)
	}
}

// evacuate empties a data centre of work for a while, unless one is evacuated already: the other one
// then has to serve.
func (w *world) evacuate(f fault) {
	if !w.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer w.evacuating.Store(false)
	dataCentre := dataCentreName(int(f.draw >> 40 % dataCentres))
	w.store.Evacuate(dataCentre)
	w.requireLeft("the evacuated "+dataCentre, func() int {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		sum := 0
		for _, one := range w.replicas {
			if one.dataCentre == dataCentre {
				sum += len(one.Arrivals())
			}
		}
		return sum
	})
	w.store.EndEvacuation(dataCentre)
}
