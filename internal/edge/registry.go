package edge

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/mirror"
	"github.com/pistachiopier/pistachiopier/platform"
)

// lapseWait is how long a replica whose entry the store lost during an outage goes
// on getting requests: entries of live replicas are back within about two seconds.
const lapseWait = 2300 * time.Millisecond

// registry takes the changes of the store's copy into the node's beliefs. It
// implements mirror.Listener.
type registry struct {
	beliefs *beliefs
	log     *decisionlog.Log
	// onConfig is told each configuration that is put in force.
	onConfig func()
}

// Changed implements mirror.Listener.
func (r *registry) Changed(change mirror.Change) {
	for _, item := range change.Items {
		if platform.IsConfig(item.Key) {
			r.configChanged(item)
			continue
		}
		if id, ok := platform.ReplicaID(item.Key); ok {
			r.replicaChanged(id, item, change.AfterOutage)
		}
	}
}

// configChanged puts a configuration in force. The copy's items only rise in
// revision, so that an older one never comes here.
func (r *registry) configChanged(item mirror.Item) {
	if item.Removed {
		r.log.Life("config_removed", decisionlog.Fields{"revision": item.Revision, "outcome": "the former stays in force"})
		return
	}
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		r.log.Life("config_refused", decisionlog.Fields{"revision": item.Revision, "error": err.Error(), "outcome": "the former stays in force"})
		return
	}
	r.beliefs.config.Store(config)
	r.log.Life("config_in_force", decisionlog.Fields{"version": config.Version, "revision": item.Revision, "routes": len(config.Routes)})
	if r.onConfig != nil {
		r.onConfig()
	}
}

func (r *registry) replicaChanged(id string, item mirror.Item, afterOutage bool) {
	if item.Removed {
		r.replicaRemoved(id, item.Revision, afterOutage)
		return
	}
	listed, err := platform.DecodeReplica(id, item.Value)
	if err != nil {
		r.log.Life("replica_refused", decisionlog.Fields{"replica": id, "revision": item.Revision, "error": err.Error()})
		return
	}
	var known replica.Replica
	var had bool
	r.beliefs.note(func(book *replica.Book, _ core.Time) {
		known, had = book.Get(id)
		book.Put(listed)
	})
	fields := decisionlog.Fields{"replica": id, "service": listed.Service, "address": listed.Address, "data_centre": listed.DataCentre, "revision": item.Revision}
	switch {
	case !had:
		r.log.Decision("replica_listed", fields)
	case listed.Draining && !known.Draining:
		r.log.Decision("replica_draining", fields)
	}
}

func (r *registry) replicaRemoved(id string, revision uint64, afterOutage bool) {
	r.beliefs.note(func(book *replica.Book, now core.Time) {
		if afterOutage {
			book.Lapse(id, now)
			return
		}
		book.Remove(id)
	})
	event := "replica_gone"
	if afterOutage {
		event = "replica_lapsed"
	}
	r.log.Decision(event, decisionlog.Fields{"replica": id, "revision": revision})
}

// expire removes the replicas whose entries did not come back.
func (r *registry) expire() {
	var gone []string
	r.beliefs.note(func(book *replica.Book, now core.Time) { gone = book.Expire(lapseWait, now) })
	for _, id := range gone {
		r.log.Decision("replica_gone", decisionlog.Fields{"replica": id, "outcome": "its entry did not come back"})
	}
}

// SourceFailed implements mirror.Listener.
func (r *registry) SourceFailed(source string, cause error) {
	r.log.Life("dependency_lost", decisionlog.Fields{"dependency": source, "error": cause.Error()})
}

// SourceBack implements mirror.Listener.
func (r *registry) SourceBack(source string, after time.Duration) {
	r.log.Life("dependency_back", decisionlog.Fields{"dependency": source, "after_ms": after.Milliseconds()})
}
