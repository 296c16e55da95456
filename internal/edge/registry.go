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

// lapseTimeout is how long a replica whose entry the store lost during an outage still gets requests. Entries
// of live replicas are back within about two seconds.
const lapseTimeout = 2300 * time.Millisecond

const (
	// missedHeartbeats is the number of heartbeats without a report after which the store removes an entry.
	missedHeartbeats = 3
	// defaultHeartbeatInterval is the time between two reports if the settings do not state it.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// removalMargin is the additional time that the store may take to remove an entry.
	removalMargin = time.Second
)

// suspicionTimeout returns how long the entry of a replica that has left may stay in a store restored from a
// backup: nothing renews it.
func (r *registry) suspicionTimeout() time.Duration {
	interval := r.heartbeatInterval()
	if interval <= 0 {
		interval = defaultHeartbeatInterval
	}
	return missedHeartbeats*interval + removalMargin
}

// registry applies changes of the store's copy to the node's state. It implements mirror.Listener.
type registry struct {
	state   *sharedState
	log     *decisionlog.Log
	metrics *nodeMetrics
	// heartbeatInterval returns the time between two reports of a replica; 0 means unknown.
	heartbeatInterval func() time.Duration
	// onConfig is called after a configuration was put in force.
	onConfig func()
	// onEvacuation is called after the set of evacuated data centres changed.
	onEvacuation func()
	// onRestart is called with the former incarnation of a replica that restarted under its id.
	onRestart func(former replica.Incarnation)
	// onListed is called with each incarnation that is listed for the first time, and its address.
	onListed func(incarnation replica.Incarnation, address string)

	mutex sync.Mutex
	// refused holds, by id, why entries do not name a replica.
	refused map[string]refusedEntry
}

// refusedEntry is the reason why an entry names no replica, and the revision of the entry.
type refusedEntry struct {
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// errNoStartTime is returned for an entry without a start time if earlier entries of the replica had one.
var errNoStartTime = errors.New("the entry lacks the start time that earlier entries of the replica had")

// maxRefusedEntries bounds the refused entries that the dump lists. Further ones are also refused, logged and
// counted.
const maxRefusedEntries = 256

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

// configOutdated logs a configuration that is older than the one in force. A store restored from a backup
// offers one until the operators write the current one again; if it were applied, callers would get the
// configuration that they have already seen replaced.
func (r *registry) configOutdated(item mirror.Item, era uint64) {
	fields := decisionlog.Fields{"offered_version": item.Rank, "revision": item.Revision, "era": era, "outcome": "the newer configuration stays in force"}
	if config := r.state.config.Load(); config != nil {
		fields["version"] = config.Version
	}
	r.metrics.countOutdatedConfig()
	r.log.Life("config_outdated", fields)
}

// configChanged puts a configuration in force unless its version is lower than the current one.
func (r *registry) configChanged(item mirror.Item, era uint64) {
	if item.Removed {
		r.log.Life("config_removed", decisionlog.Fields{"revision": item.Revision, "outcome": "the previous configuration stays in force"})
		return
	}
	config, err := platform.DecodeConfig(item.Value)
	if err != nil {
		r.log.Life("config_refused", decisionlog.Fields{"revision": item.Revision, "error": err.Error(), "outcome": "the previous configuration stays in force"})
		return
	}
	if former := r.state.config.Load(); former != nil && config.Version < former.Version {
		r.configOutdated(item, era)
		return
	}
	r.state.config.Store(config)
	r.log.Life("config_in_force", decisionlog.Fields{"version": config.Version, "revision": item.Revision, "era": era, "routes": len(config.Routes), "unreadable": config.Unreadable, "without_priority": config.WithoutPriority})
	if r.onConfig != nil {
		r.onConfig()
	}
}

// evacuationChanged applies the start or end of an evacuation, during which the replicas of a data centre get
// no requests. A removal found after an outage counts as made by the operators: evacuations, unlike replica
// entries, do not lapse. A store restored from a backup, however, lacks the evacuations started since, which
// are written again: the data centre gets no requests until there was time for that. An evacuation that had
// ended and is present again applies until it is ended again, because sending nothing there is the lesser
// harm.
func (r *registry) evacuationChanged(dataCentre string, item mirror.Item, newEra bool) {
	if item.Removed && newEra {
		r.state.withReplicas(func(table *replica.Table, now core.Time) { table.LapseEvacuation(dataCentre, now) })
		r.log.Life("evacuation_lapsed", decisionlog.Fields{"data_centre": dataCentre, "revision": item.Revision})
		return
	}
	changed := false
	r.state.withReplicas(func(table *replica.Table, now core.Time) {
		changed = table.SetEvacuated(dataCentre, !item.Removed, now)
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
	var result replica.PutResult
	var ended replica.Incarnation
	var restarted bool
	r.state.withReplicas(func(table *replica.Table, now core.Time) {
		known, _ = table.Get(id)
		ended, restarted = table.EndedBy(listed)
		removedBefore := change.NewEra && table.PredatesRemoval(listed)
		if listed.Born > 0 || known.Born == 0 {
			result = table.Put(listed)
		}
		if removedBefore && result == replica.Added {
			result = replica.Suspected
			table.Suspect(listed.Incarnation(), now)
		}
		if result != replica.Outdated {
			table.SetColdUntil(listed.Incarnation(), now+listed.ColdFor)
		}
	})
	if listed.Born == 0 && known.Born > 0 {
		r.replicaRefused(id, item.Revision, errNoStartTime)
		return
	}
	r.clearRefused(id)
	if result == replica.Added || result == replica.Restarted {
		r.onListed(listed.Incarnation(), listed.Address)
	}
	if restarted {
		r.onRestart(ended)
	}
	fields := decisionlog.Fields{"replica": id, "service": listed.Service, "address": listed.Address, "data_centre": listed.DataCentre, "revision": item.Revision}
	switch {
	case result == replica.Added:
		r.log.Decision("replica_listed", fields)
	case result == replica.Suspected:
		r.log.Decision("replica_doubted", fields)
	case result == replica.Restarted && listed.Incarnation() != known.Incarnation():
		fields["born"], fields["former_born"] = listed.Born, known.Born
		r.log.Decision("replica_restarted", fields)
		r.metrics.countRestart()
		r.onRestart(known.Incarnation())
	case result == replica.Outdated:
		fields["born"], fields["known_born"], fields["sequence"], fields["known_sequence"] = listed.Born, known.Born, listed.Sequence, known.Sequence
		r.log.Decision("replica_report_outdated", fields)
	case listed.Draining && !known.Draining:
		r.log.Decision("replica_draining", fields)
	}
}

// replicaRefused handles an entry that names no replica, possibly written by another program. The replica
// that the entry named before is not used either, because its own entry is gone; other replicas are not
// affected.
func (r *registry) replicaRefused(id string, revision uint64, cause error) {
	r.metrics.countRefusedEntry()
	r.state.withReplicas(func(table *replica.Table, _ core.Time) { table.Remove(id) })
	r.mutex.Lock()
	if r.refused == nil {
		r.refused = map[string]refusedEntry{}
	}
	if _, listed := r.refused[id]; listed || len(r.refused) < maxRefusedEntries {
		r.refused[id] = refusedEntry{Revision: revision, Reason: cause.Error()}
	}
	r.mutex.Unlock()
	r.log.Life("replica_refused", decisionlog.Fields{"replica": id, "revision": revision, "error": cause.Error(), "outcome": "the replica is not used until its entry is valid"})
}

// clearRefused removes an entry from the refused ones.
func (r *registry) clearRefused(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refused, id)
}

// refusedEntries returns a copy of the entries that name no replica.
func (r *registry) refusedEntries() map[string]refusedEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.refused)
}

func (r *registry) replicaRemoved(id string, revision uint64, afterOutage bool) {
	r.clearRefused(id)
	r.state.withReplicas(func(table *replica.Table, now core.Time) {
		if afterOutage {
			table.Lapse(id, now)
			return
		}
		table.Remove(id)
	})
	event := "replica_gone"
	if afterOutage {
		event = "replica_lapsed"
	}
	r.log.Decision(event, decisionlog.Fields{"replica": id, "revision": revision})
}

// expire ends lapsed entries and evacuations that were not written again after an outage or restore of the
// store, and suspicions of replicas whose entries have outlasted the timeout.
func (r *registry) expire() {
	var gone, trusted, ended []string
	r.state.withReplicas(func(table *replica.Table, now core.Time) {
		gone = table.Expire(lapseTimeout, now)
		trusted = table.ExpireSuspicions(r.suspicionTimeout(), now)
		ended = table.ExpireEvacuations(lapseTimeout, now)
	})
	for _, id := range gone {
		r.log.Decision("replica_gone", decisionlog.Fields{"replica": id, "outcome": "its entry was not written again"})
	}
	for _, id := range trusted {
		r.log.Decision("replica_trusted", decisionlog.Fields{"replica": id, "outcome": "its entry outlasted the suspicion timeout"})
	}
	for _, dataCentre := range ended {
		r.log.Life("evacuation_ended", decisionlog.Fields{"data_centre": dataCentre, "outcome": "the evacuation was not written again"})
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
		"dependency": change.Source, "era": change.Current.Era, "former_era": change.Previous.Era, "revision": change.Current.Revision, "former_revision": change.Previous.Revision,
		"items_lost": change.Lost, "items_differing": change.Differing, "items_stood": change.Unchanged, "items_outranked": change.Outranked,
	})
}

// EraMissing implements mirror.Listener.
func (r *registry) EraMissing(known uint64) {
	r.log.Life("store_era_untold", decisionlog.Fields{"known_era": known, "outcome": "answers are treated as of the known era and undo nothing"})
}

// ReadingRejected implements mirror.Listener.
func (r *registry) ReadingRejected(reading mirror.RejectedReading) {
	r.log.Life("reading_not_taken", decisionlog.Fields{"dependency": reading.Source, "era": reading.Era, "revision": reading.Revision, "reached_era": reading.Position.Era, "reached_revision": reading.Position.Revision, "outcome": "the previous reading stays in force"})
}

// SourceRecovered implements mirror.Listener.
func (r *registry) SourceRecovered(source string, after time.Duration) {
	r.log.Life("dependency_back", decisionlog.Fields{"dependency": source, "after_ms": after.Milliseconds()})
}
