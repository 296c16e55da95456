package edge

import (
	"errors"
	"maps"
	"sync"
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
	metrics *nodeMetrics
	// onConfig is told each configuration that is put in force.
	onConfig func()
	// onEvacuation is told that other data centres are evacuated than before.
	onEvacuation func()
	// onRestart is told an incarnation whose replica has started again under its id.
	onRestart func(former replica.Incarnation)

	mutex sync.Mutex
	// refused holds why the entries that name no replica do not, by id.
	refused map[string]refusedEntry
}

// refusedEntry is why an entry names no replica, and the revision that says so.
type refusedEntry struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// errNoStart is an entry that does not say when its replica started, though former ones did.
var errNoStart = errors.New("it does not say when the replica started, as former entries did")

// maxRefused bounds the entries that are remembered as refused. Further ones are refused too,
// logged and counted, but not shown in the dump.
const maxRefused = 256

// Changed implements mirror.Listener.
func (r *registry) Changed(change mirror.Change) {
	for _, item := range change.Items {
		if platform.IsConfig(item.Key) {
			r.configChanged(item)
			continue
		}
		if dataCentre, ok := platform.EvacuatedDataCentre(item.Key); ok {
			r.evacuationChanged(dataCentre, item)
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
	r.log.Life("config_in_force", decisionlog.Fields{"version": config.Version, "revision": item.Revision, "routes": len(config.Routes), "unreadable": config.Unreadable})
	if r.onConfig != nil {
		r.onConfig()
	}
}

// evacuationChanged takes the operators' wish that the replicas of a data centre get nothing, or
// its end. Items rise in revision only, so that an older wish never comes here, and a removal that
// a reading after an outage tells of is the operators' own: unlike entries of replicas, wishes do not lapse.
func (r *registry) evacuationChanged(dataCentre string, item mirror.Item) {
	changed := false
	r.beliefs.note(func(book *replica.Book, now core.Time) {
		changed = book.Evacuate(dataCentre, !item.Removed, now)
	})
	if !changed {
		return
	}
	event := "evacuation_in_force"
	if item.Removed {
		event = "evacuation_ended"
	}
	r.log.Life(event, decisionlog.Fields{"data_centre": dataCentre, "revision": item.Revision})
	r.onEvacuation()
}

func (r *registry) replicaChanged(id string, item mirror.Item, afterOutage bool) {
	if item.Removed {
		r.replicaRemoved(id, item.Revision, afterOutage)
		return
	}
	listed, err := platform.DecodeReplica(id, item.Value)
	if err != nil {
		r.replicaRefused(id, item.Revision, err)
		return
	}
	var known replica.Replica
	var listing replica.Listing
	r.beliefs.note(func(book *replica.Book, now core.Time) {
		known, _ = book.Get(id)
		if listed.Born > 0 || known.Born == 0 {
			listing = book.Put(listed)
		}
		if listing != replica.Outdated {
			book.Cold(listed.Life(), now+listed.ColdFor)
		}
	})
	if listed.Born == 0 && known.Born > 0 {
		r.replicaRefused(id, item.Revision, errNoStart)
		return
	}
	r.accepted(id)
	fields := decisionlog.Fields{"replica": id, "service": listed.Service, "address": listed.Address, "data_centre": listed.DataCentre, "revision": item.Revision}
	switch {
	case listing == replica.Added:
		r.log.Decision("replica_listed", fields)
	case listing == replica.Restarted && listed.Life() != known.Life():
		fields["born"], fields["former_born"] = listed.Born, known.Born
		r.log.Decision("replica_restarted", fields)
		r.metrics.restarted()
		r.onRestart(known.Life())
	case listing == replica.Outdated:
		fields["born"], fields["known_born"], fields["sequence"], fields["known_sequence"] = listed.Born, known.Born, listed.Sequence, known.Sequence
		r.log.Decision("replica_report_outdated", fields)
	case listed.Draining && !known.Draining:
		r.log.Decision("replica_draining", fields)
	}
}

// replicaRefused takes an entry that names no replica: another program may have written it. The
// replica that stood there before is not used either, as its own entry is gone; others hold.
func (r *registry) replicaRefused(id string, revision uint64, cause error) {
	r.metrics.entryRefused()
	r.beliefs.note(func(book *replica.Book, _ core.Time) { book.Remove(id) })
	r.mutex.Lock()
	if r.refused == nil {
		r.refused = map[string]refusedEntry{}
	}
	if len(r.refused) < maxRefused {
		r.refused[id] = refusedEntry{Revision: revision, Reason: cause.Error()}
	}
	r.mutex.Unlock()
	r.log.Life("replica_refused", decisionlog.Fields{"replica": id, "revision": revision, "error": cause.Error(), "outcome": "the entry names no replica to use"})
}

// accepted forgets that an entry was refused.
func (r *registry) accepted(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refused, id)
}

// refusedEntries copies the entries that name no replica.
func (r *registry) refusedEntries() map[string]refusedEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.refused)
}

func (r *registry) replicaRemoved(id string, revision uint64, afterOutage bool) {
	r.accepted(id)
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

// NotTaken implements mirror.Listener.
func (r *registry) NotTaken(one mirror.NotTaken) {
	r.log.Life("reading_not_taken", decisionlog.Fields{"dependency": one.Source, "era": one.Era, "revision": one.Revision, "reached_revision": one.Reached, "outcome": "what was read before stays in force"})
}

// SourceBack implements mirror.Listener.
func (r *registry) SourceBack(source string, after time.Duration) {
	r.log.Life("dependency_back", decisionlog.Fields{"dependency": source, "after_ms": after.Milliseconds()})
}
