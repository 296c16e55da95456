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

const (
	// silentHeartbeats is the number of heartbeats without a report after which the store removes an entry.
	silentHeartbeats = 3
	// usualHeartbeat is the pause between two reports where the settings do not tell it.
	usualHeartbeat = 1200 * time.Millisecond
	// removalSlack is how much longer the store may take to remove an entry.
	removalSlack = time.Second
)

// doubtWait is how long the entry of a replica that has left may stay in a store that came back from a copy:
// nobody renews it.
func (r *registry) doubtWait() time.Duration {
	heartbeat := r.heartbeat()
	if heartbeat <= 0 {
		heartbeat = usualHeartbeat
	}
	return silentHeartbeats*heartbeat + removalSlack
}

// registry takes the changes of the store's copy into the node's beliefs. It
// implements mirror.Listener.
type registry struct {
	beliefs *beliefs
	log     *decisionlog.Log
	metrics *nodeMetrics
	// heartbeat is the pause between two reports of a replica; 0 is not known.
	heartbeat func() time.Duration
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
	for _, item := range change.Outranked {
		r.configOutdated(item, change.Era)
	}
	for _, item := range change.Items {
		if platform.IsConfigKey(item.Key) {
			r.configChanged(item, change.Era)
			continue
		}
		if dataCentre, ok := platform.EvacuatedDataCentre(item.Key); ok {
			r.evacuationChanged(dataCentre, item, change.NewEra)
			continue
		}
		if id, ok := platform.ReplicaIDFromKey(item.Key); ok {
			r.replicaChanged(id, item, change)
		}
	}
}

// configOutdated tells a configuration that is older than the one in force. A store that came back from a
// copy offers one until the operator's is written again; taken, it would send callers back to
// what they have seen replaced.
func (r *registry) configOutdated(item mirror.Item, era uint64) {
	fields := decisionlog.Fields{"offered_version": item.Rank, "revision": item.Revision, "era": era, "outcome": "the newer one stays in force"}
	if config := r.beliefs.config.Load(); config != nil {
		fields["version"] = config.Version
	}
	r.metrics.configOutdated()
	r.log.Life("config_outdated", fields)
}

// configChanged puts a configuration in force. Versions only rise.
func (r *registry) configChanged(item mirror.Item, era uint64) {
	if item.Removed {
		r.log.Life("config_removed", decisionlog.Fields{"revision": item.Revision, "outcome": "the former stays in force"})
		return
	}
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		r.log.Life("config_refused", decisionlog.Fields{"revision": item.Revision, "error": err.Error(), "outcome": "the former stays in force"})
		return
	}
	if former := r.beliefs.config.Load(); former != nil && config.Version < former.Version {
		r.configOutdated(item, era)
		return
	}
	r.beliefs.config.Store(config)
	r.log.Life("config_in_force", decisionlog.Fields{"version": config.Version, "revision": item.Revision, "era": era, "routes": len(config.Routes), "unreadable": config.Unreadable})
	if r.onConfig != nil {
		r.onConfig()
	}
}

// evacuationChanged takes the operators' wish that the replicas of a data centre get nothing, or
// its end. A removal that a reading after an outage tells of is the operators' own: unlike entries of
// replicas, wishes do not lapse. But a store that came back from a copy lacks the wishes since,
// which are written again: the data centre gets nothing until there was time for that. A wish that had
// ended and is back binds until it is taken back again: to send nothing there is the lesser harm.
func (r *registry) evacuationChanged(dataCentre string, item mirror.Item, newEra bool) {
	if item.Removed && newEra {
		r.beliefs.note(func(book *replica.Table, now core.Time) { book.LapseEvacuation(dataCentre, now) })
		r.log.Life("evacuation_lapsed", decisionlog.Fields{"data_centre": dataCentre, "revision": item.Revision})
		return
	}
	changed := false
	r.beliefs.note(func(book *replica.Table, now core.Time) {
		changed = book.SetEvacuated(dataCentre, !item.Removed, now)
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

func (r *registry) replicaChanged(id string, item mirror.Item, change mirror.Change) {
	if item.Removed {
		r.replicaRemoved(id, item.Revision, change.AfterOutage)
		return
	}
	listed, err := platform.DecodeReplica(id, item.Value)
	if err != nil {
		r.replicaRefused(id, item.Revision, err)
		return
	}
	var known replica.Replica
	var listing replica.PutResult
	r.beliefs.note(func(book *replica.Table, now core.Time) {
		known, _ = book.Get(id)
		left := change.NewEra && book.PredatesRemoval(listed)
		if listed.Born > 0 || known.Born == 0 {
			listing = book.Put(listed)
		}
		if left && listing == replica.Added {
			listing = replica.Suspected
			book.Suspect(listed.Incarnation(), now)
		}
		if listing != replica.Outdated {
			book.SetColdUntil(listed.Incarnation(), now+listed.ColdFor)
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
	case listing == replica.Suspected:
		r.log.Decision("replica_doubted", fields)
	case listing == replica.Restarted && listed.Incarnation() != known.Incarnation():
		fields["born"], fields["former_born"] = listed.Born, known.Born
		r.log.Decision("replica_restarted", fields)
		r.metrics.restarted()
		r.onRestart(known.Incarnation())
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
	r.beliefs.note(func(book *replica.Table, _ core.Time) { book.Remove(id) })
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
	r.beliefs.note(func(book *replica.Table, now core.Time) {
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

// expire ends what was not written again after the store was away or came back from a copy, and the
// doubts in replicas whose entries have outlasted them.
func (r *registry) expire() {
	var gone, trusted, ended []string
	r.beliefs.note(func(book *replica.Table, now core.Time) {
		gone = book.Expire(lapseWait, now)
		trusted = book.ExpireSuspicions(r.doubtWait(), now)
		ended = book.ExpireEvacuations(lapseWait, now)
	})
	for _, id := range gone {
		r.log.Decision("replica_gone", decisionlog.Fields{"replica": id, "outcome": "its entry did not come back"})
	}
	for _, id := range trusted {
		r.log.Decision("replica_trusted", decisionlog.Fields{"replica": id, "outcome": "its entry has outlasted the doubt"})
	}
	for _, dataCentre := range ended {
		r.log.Life("evacuation_ended", decisionlog.Fields{"data_centre": dataCentre, "outcome": "the wish was not written again"})
	}
	if len(ended) > 0 {
		r.onEvacuation()
	}
}

// SourceFailed implements mirror.Listener.
func (r *registry) SourceFailed(source string, cause error) {
	r.log.Life("dependency_lost", decisionlog.Fields{"dependency": source, "error": cause.Error()})
}

// EraChanged implements mirror.Listener.
func (r *registry) EraChanged(change mirror.EraChange) {
	r.log.Life("store_era_changed", decisionlog.Fields{
		"dependency": change.Source, "era": change.Now.Era, "former_era": change.Former.Era, "revision": change.Now.Revision, "former_revision": change.Former.Revision,
		"items_lost": change.Lost, "items_differing": change.Differing, "items_stood": change.Stood, "items_outranked": change.Outranked,
	})
}

// EraUntold implements mirror.Listener.
func (r *registry) EraUntold(known uint64) {
	r.log.Life("store_era_untold", decisionlog.Fields{"known_era": known, "outcome": "answers count as of the known era: they take nothing back"})
}

// NotTaken implements mirror.Listener.
func (r *registry) NotTaken(one mirror.NotTaken) {
	r.log.Life("reading_not_taken", decisionlog.Fields{"dependency": one.Source, "era": one.Era, "revision": one.Revision, "reached_era": one.Reached.Era, "reached_revision": one.Reached.Revision, "outcome": "what was read before stays in force"})
}

// SourceBack implements mirror.Listener.
func (r *registry) SourceBack(source string, after time.Duration) {
	r.log.Life("dependency_back", decisionlog.Fields{"dependency": source, "after_ms": after.Milliseconds()})
}
