// Package replica tracks what a node knows of the replicas of each service: which replicas exist, how each
// has answered lately, and which one is best for the next request.
package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/pauses"
)

// Incarnation identifies one run of a replica's process. A replica that restarts may keep its id, but it has no
// state of the previous incarnation, and observations of that incarnation do not apply to it.
type Incarnation struct {
	ID string
	// Born is its start time in Unix milliseconds of its own clock, 0 if not reported.
	Born int64
}

// Replica is one incarnation of a replica as the registry lists it.
type Replica struct {
	ID   string
	Born int64
	// Sequence counts the reports of one incarnation.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	// ColdFor is how much longer the replica expected to be cold when it reported.
	ColdFor time.Duration
}

// Incarnation returns the id and start time of the replica.
func (r Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// Table holds the replicas of all services. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	byID       map[string]*state
	byService  map[string][]*state
	random     func() float64
	// ranks orders the data centres by preference: 0 is the node's own, the others
	// follow in a ring by name, which spreads the preferences of all nodes evenly.
	ranks map[string]int
	// regions maps each data centre to its region.
	regions map[string]string
	// removed holds the last reports of replicas that are no longer listed, by id.
	removed map[string]lastReport
	// evacuated holds the evacuated data centres with the time at which the evacuation ceased to be listed, 0
	// while it is listed; returnedAt is when the last evacuation of each other data centre ended.
	evacuated  map[string]core.Time
	returnedAt map[string]core.Time
	// coldBounds holds the rate bounds of cold replicas by service; senders are the nodes that share them, self is
	// this node.
	coldBounds map[string]coldstart.Bound
	self       core.NodeID
	senders    []core.NodeID
	// Pauses estimates the interval and duration of the replicas' pauses.
	Pauses pauses.Estimator
}

// lastReport identifies the last accepted report of a replica.
type lastReport struct{ born, sequence int64 }

// maxRemoved bounds Table.removed. Beyond it all entries are dropped: a late report of an earlier incarnation may
// then list a replica that no longer exists and does not answer.
const maxRemoved = 4096

// NewTable returns an empty table for a node of the given data centre. The random source, which returns 0 to 1,
// breaks ties.
func NewTable(dataCentre string, regions map[string]string, random func() float64) *Table {
	return &Table{dataCentre: dataCentre, regions: regions, byID: map[string]*state{}, byService: map[string][]*state{}, random: random, ranks: map[string]int{dataCentre: 0}, removed: map[string]lastReport{}, evacuated: map[string]core.Time{}, returnedAt: map[string]core.Time{}}
}

// rankDataCentre adds a data centre to the ring if it is new.
func (t *Table) rankDataCentre(dataCentre string) {
	if _, known := t.ranks[dataCentre]; known {
		return
	}
	t.ranks[dataCentre] = 0
	names := slices.Sorted(maps.Keys(t.ranks))
	own := slices.Index(names, t.dataCentre)
	for i, name := range names {
		t.ranks[name] = (i - own + len(names)) % len(names)
	}
}

// PutResult is the outcome of a report of a replica.
type PutResult int

// The values of PutResult.
const (
	// Added means that a replica is newly listed.
	Added PutResult = iota
	// Updated means that a known incarnation has new data; its observations are kept.
	Updated
	// Restarted means that a new incarnation replaces an earlier one, whose observations are dropped.
	Restarted
	// Outdated means that the report is older than the known one; it changes nothing.
	Outdated
	// Suspected means that a newly listed replica may have left and gets no requests yet; Put does not return it.
	Suspected
)

// Put applies a report of a replica.
//
// A delayed report of an earlier incarnation may arrive after the first report of a restarted replica. Applied, it
// would list a replica that no longer exists, or a draining one as ready. Therefore an older start time never replaces
// a newer one, nor an older report of one incarnation a newer one.
func (t *Table) Put(replica Replica) PutResult {
	known := t.byID[replica.ID]
	switch {
	case known == nil && replica.Born < t.removed[replica.ID].born:
		return Outdated
	case known == nil:
		t.add(replica)
		return Added
	case replica.Born < known.Born || replica.Born == known.Born && replica.Sequence < known.Sequence:
		return Outdated
	case replica.Born > known.Born || replica.Service != known.Service:
		t.Remove(replica.ID)
		t.add(replica)
		return Restarted
	}
	known.misdirected = known.misdirected && known.Address == replica.Address
	if replica.Sequence > known.Sequence {
		// A newer report shows that the replica is live.
		known.suspectedAt = 0
	}
	known.Replica = replica
	known.lapsedAt = 0
	return Updated
}

// EndedBy returns the earlier incarnation that a report shows to have ended, if its entry was removed or unreadable in
// between. Put itself reports a restart that follows directly.
func (t *Table) EndedBy(report Replica) (Incarnation, bool) {
	last, removed := t.removed[report.ID]
	if !removed || last.born == 0 || last.born >= report.Born {
		return Incarnation{}, false
	}
	return Incarnation{ID: report.ID, Born: last.born}, true
}

func (t *Table) add(replica Replica) {
	delete(t.removed, replica.ID)
	t.rankDataCentre(replica.DataCentre)
	added := &state{Replica: replica, slowness: 1}
	t.byID[replica.ID] = added
	t.byService[replica.Service] = append(t.byService[replica.Service], added)
}

// Remove removes a replica and keeps only the identity of its last report.
func (t *Table) Remove(id string) {
	known := t.byID[id]
	if known == nil {
		return
	}
	delete(t.byID, id)
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
	}
	t.removed[id] = lastReport{born: known.Born, sequence: known.Sequence}
	kept := make([]*state, 0, len(t.byService[known.Service]))
	for _, s := range t.byService[known.Service] {
		if s != known {
			kept = append(kept, s)
		}
	}
	t.byService[known.Service] = kept
	if len(kept) == 0 {
		delete(t.byService, known.Service)
	}
}

// Get finds a replica by its id.
func (t *Table) Get(id string) (Replica, bool) {
	known := t.byID[id]
	if known == nil {
		return Replica{}, false
	}
	return known.Replica, true
}

// find returns the state of an incarnation, or nil if it is not the listed one: events of an earlier incarnation do
// not apply to the current one.
func (t *Table) find(incarnation Incarnation) *state {
	known := t.byID[incarnation.ID]
	if known == nil || known.Born != incarnation.Born {
		return nil
	}
	return known
}

// Each calls visit for each replica.
func (t *Table) Each(visit func(Replica)) {
	for _, known := range t.byID {
		visit(known.Replica)
	}
}
