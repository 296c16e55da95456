// Package replica is what a node believes of the replicas of each service: which
// there are, how each has answered lately, and which one the next request is
// best sent to.
package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
	"github.com/pistachiopier/pistachiopier/internal/core/pauses"
)

// Incarnation names one life of a replica. A replica that starts again may keep its id; it
// then knows nothing of its former life, and nothing seen of that one holds for it.
type Incarnation struct {
	ID string
	// Born is when it started, in Unix milliseconds of its own clock; 0 where it does not say.
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
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining replicas get no new request.
	Draining bool
	// ColdFor is how much longer the replica was to be cold when it reported.
	ColdFor time.Duration
}

// Incarnation names the incarnation.
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
	// regions names the region of each data centre.
	regions map[string]string
	// ended holds the last report of ids that are no longer listed.
	ended map[string]lastReport
	// evacuated are the data centres whose replicas are to get nothing, with the time since when the wish is
	// no longer listed, 0 while it is; returned is when the others were last taken back.
	evacuated map[string]core.Time
	returned  map[string]core.Time
	// coldBounds are what cold replicas of a service bear; self and senders are the nodes that share it.
	coldBounds map[string]coldstart.Bound
	self       core.NodeID
	senders    []core.NodeID
	// Pauses is what the pauses of all replicas have in common.
	Pauses pauses.Rhythm
}

// lastReport names the last report of a replica that was taken.
type lastReport struct{ born, sequence int64 }

// maxEnded bounds Table.ended. Beyond it all are forgotten: a late report of a former
// incarnation may then list a replica that is gone, which answers nothing.
const maxEnded = 4096

// NewTable makes an empty book for a node of the given data centre. The random
// source, 0 to 1, breaks ties.
func NewTable(dataCentre string, regions map[string]string, random func() float64) *Table {
	return &Table{dataCentre: dataCentre, regions: regions, byID: map[string]*state{}, byService: map[string][]*state{}, random: random, ranks: map[string]int{dataCentre: 0}, ended: map[string]lastReport{}, evacuated: map[string]core.Time{}, returned: map[string]core.Time{}}
}

// rank takes a data centre that may be new into the ring.
func (b *Table) rank(dataCentre string) {
	if _, known := b.ranks[dataCentre]; known {
		return
	}
	b.ranks[dataCentre] = 0
	names := slices.Sorted(maps.Keys(b.ranks))
	own := slices.Index(names, b.dataCentre)
	for i, name := range names {
		b.ranks[name] = (i - own + len(names)) % len(names)
	}
}

// PutResult is what a report of a replica came to.
type PutResult int

// The outcomes of Put.
const (
	// Added lists a replica that was not known.
	Added PutResult = iota
	// Updated takes new particulars of a known incarnation; what was seen of it stays.
	Updated
	// Restarted replaces a former incarnation, of which nothing counts any more.
	Restarted
	// Outdated is a report that is older than what is known; it changes nothing.
	Outdated
	// Suspected lists a replica that may have left; it gets nothing yet.
	Suspected
)

// Put takes a report of a replica.
//
// A report that was on its way while its replica started again comes after the new one's. Taken
// for the newest, it would bring back a replica that is gone, or one that drains as ready: an
// older start never replaces a newer one, nor an older report of one life a newer one.
func (b *Table) Put(replica Replica) PutResult {
	known := b.byID[replica.ID]
	switch {
	case known == nil && replica.Born < b.ended[replica.ID].born:
		return Outdated
	case known == nil:
		b.add(replica)
		return Added
	case replica.Born < known.Born || replica.Born == known.Born && replica.Sequence < known.Sequence:
		return Outdated
	case replica.Born > known.Born || replica.Service != known.Service:
		b.Remove(replica.ID)
		b.add(replica)
		return Restarted
	}
	known.misdirected = known.misdirected && known.Address == replica.Address
	if replica.Sequence > known.Sequence {
		// It lives.
		known.doubtedAt = 0
	}
	known.Replica = replica
	known.lapsedAt = 0
	return Updated
}

func (b *Table) add(replica Replica) {
	delete(b.ended, replica.ID)
	b.rank(replica.DataCentre)
	added := &state{Replica: replica, slowness: 1}
	b.byID[replica.ID] = added
	b.byService[replica.Service] = append(b.byService[replica.Service], added)
}

// Remove forgets a replica.
func (b *Table) Remove(id string) {
	known := b.byID[id]
	if known == nil {
		return
	}
	delete(b.byID, id)
	if len(b.ended) >= maxEnded {
		clear(b.ended)
	}
	b.ended[id] = lastReport{born: known.Born, sequence: known.Sequence}
	kept := make([]*state, 0, len(b.byService[known.Service]))
	for _, one := range b.byService[known.Service] {
		if one != known {
			kept = append(kept, one)
		}
	}
	b.byService[known.Service] = kept
	if len(kept) == 0 {
		delete(b.byService, known.Service)
	}
}

// Get finds a replica by its id.
func (b *Table) Get(id string) (Replica, bool) {
	known := b.byID[id]
	if known == nil {
		return Replica{}, false
	}
	return known.Replica, true
}

// of finds what is known of an incarnation; nil where it is not the one that is listed: what
// happens to a former life says nothing of the present one.
func (b *Table) of(life Incarnation) *state {
	known := b.byID[life.ID]
	if known == nil || known.Born != life.Born {
		return nil
	}
	return known
}

// Each calls visit for each replica.
func (b *Table) Each(visit func(Replica)) {
	for _, known := range b.byID {
		visit(known.Replica)
	}
}
