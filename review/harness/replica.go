package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/platform"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// replica is a sound replica: it runs up to slots requests at a time, queues further ones, stops at their deadlines and
// drops those whose connection closes.
type replica struct {
	world    *world
	id, zone string
	slots    chan struct{}
	work     time.Duration
	server   *http.Server
	address  string
	reports  int
	// state is what the replica reports every heartbeatInterval, "" once its entry is removed.
	state          string
	ended          chan struct{}
	mutex          sync.Mutex
	arrivals, runs map[string]time.Time
}

// serviceName is the service of all replicas.
const serviceName = "stemroom"

// startReplica starts a replica and lists it in the store.
func (w *world) startReplica(id, zone string, slots int, work time.Duration) (*replica, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	r := &replica{world: w, id: id, zone: zone, slots: make(chan struct{}, slots), work: work, address: listener.Addr().String(), ended: make(chan struct{}), arrivals: map[string]time.Time{}, runs: map[string]time.Time{}}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: dialTimeout}
	go func() { _ = r.server.Serve(listener) }()
	w.replicas = append(w.replicas, r)
	r.report(platformtest.StateReady)
	go r.sendHeartbeats()
	return r, nil
}

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// report changes what the replica reports, and returns when the store has accepted it.
func (r *replica) report(state string) time.Time {
	r.mutex.Lock()
	r.state = state
	r.mutex.Unlock()
	r.write()
	r.world.note("the store has %s as %s", r.id, state)
	return time.Now()
}

// write writes the replica's entry, unless that was removed.
func (r *replica) write() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state == "" {
		return
	}
	r.reports++
	r.world.store.Put(storeKey(r.id), map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": cap(r.slots), "state": r.state, "warmupLeftMs": 0, "seq": r.reports,
	})
}

// sendHeartbeats writes the entry again and again until the replica ends.
func (r *replica) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.write()
		case <-r.ended:
			return
		}
	}
}

// setWork changes how long requests take that begin from now on.
func (r *replica) setWork(work time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.work = work
	r.world.note("%s now works %v on each request", r.id, work)
}

func (r *replica) currentWork() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.work
}

// remove removes the replica's entry, and returns when the store has accepted it.
func (r *replica) remove() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state = ""
	r.world.store.Remove(storeKey(r.id))
	r.world.note("the store no longer has %s", r.id)
	return time.Now()
}

func (r *replica) close() {
	close(r.ended)
	_ = r.server.Close()
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := platform.RequestID(request.Header)
	r.noteEvent(r.arrivals, id, "reaches")
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	remaining, stated := platform.RemainingTime(request.Header)
	if !stated {
		remaining = time.Minute
	}
	deadline := time.NewTimer(remaining)
	defer deadline.Stop()
	w.Header().Set(idHeader, id)
	platform.SetStamp(w.Header(), r.id+"."+id)
	select {
	case r.slots <- struct{}{}:
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-request.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	r.noteEvent(r.runs, id, "runs at")
	select {
	case <-time.After(r.currentWork()):
		_, _ = fmt.Fprintf(w, "answer to %s", id)
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-request.Context().Done():
		r.world.note("  %s is cut off at %s", id, r.id)
	}
}

func (r *replica) noteEvent(events map[string]time.Time, id, what string) {
	r.mutex.Lock()
	events[id] = time.Now()
	r.mutex.Unlock()
	r.world.note("  %s %s %s", id, what, r.id)
}

// arrivedAt returns when a request reached the replica; false if it never did.
func (r *replica) arrivedAt(id string) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, ok := r.arrivals[id]
	return at, ok
}

// idHeader is the header of a request's id, which replicas echo.
var idHeader = func() string {
	header := http.Header{}
	platform.SetRequestHeaders(header, "id", 0)
	for name := range header {
		if header.Get(name) == "id" {
			return name
		}
	}
	panic("no header holds the id")
}()

// storeKey returns the key of a replica's entry.
func storeKey(id string) string { return (&platformtest.Replica{ID: id}).Key() }
