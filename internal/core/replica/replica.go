// Package replica is what a node believes of the replicas of each service: which
// there are, how each has answered lately, and which one the next request is
// best sent to.
package replica

import (
	"maps"
	"math"
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

// Life names the incarnation.
func (r Replica) Life() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// Weights of Book.cost, in units of one usual answer time of the route. They were
// chosen so that a replica of the own data centre is preferred unless it is twice
// as slow as usual or all its slots hold requests of this node.
const (
	remoteCost = 1.0
	// rankCost makes a node prefer one other data centre to the next, so that the
	// parts it lacks come from few of them.
	rankCost = 0.4
	// regionCost is added for another region, some ten milliseconds away.
	regionCost  = 3.0
	overdueCost = 4.0
	failureCost = 8.0
	refusedCost = 4.0
	// refusalCost is for a replica that refuses every request. A refusal costs a round trip and
	// an arrival out of the service's bound, less than a failure, which costs the work too: the
	// replica is used for what does not fit into others.
	refusalCost = 4.0
)

// Times after which what was seen of a replica no longer counts.
const (
	// slownessLife is the time in which half of a measured slowness is forgotten
	// while no answer comes: a replica that became fast again is then tried.
	slownessLife = 3 * time.Second
	// overdueLife bounds how long a request without an answer counts against a
	// replica.
	overdueLife = time.Second
	// refusedLife is how long a refusal says that there is no room just now.
	refusedLife = 100 * time.Millisecond
	// refusalLife halves the share of requests that a replica refused: one that refuses at
	// any load is tried again every few seconds.
	refusalLife = 1500 * time.Millisecond
	// unreachedLife is how long a replica that took no connection counts as away.
	unreachedLife = 500 * time.Millisecond
	// failureLife halves the rate of failures.
	failureLife = 1500 * time.Millisecond
)

// learning is the weight of a new answer in a replica's slowness and failures.
const learning = 0.25

// state is what was seen of one replica.
type state struct {
	Replica
	outstanding int
	// silentSince is since when requests are in work without an answer to any.
	silentSince core.Time
	// slowness is the mean of answer times over the usual one; 1 is usual.
	slowness   float64
	slownessAt core.Time
	// failures is the mean share of requests that failed.
	failures   float64
	failuresAt core.Time
	overdueAt  core.Time
	// unreachedAt is when it last took no connection, 0 once it answers.
	unreachedAt core.Time
	refusedAt   core.Time
	// refusals is the mean share of requests that the replica refused.
	refusals   float64
	refusalsAt core.Time
	// misdirected is set when another replica was found at its address.
	misdirected bool
	// lapsedAt is when the registry lost the entry, 0 while it is listed.
	lapsedAt core.Time
	// coldUntil is until when the replica is cold by its own report; cold counts what it gets.
	coldUntil core.Time
	cold      coldstart.Window
	// pauses is when the replica stands still.
	pauses pauses.Clock
}

// Book holds the replicas of all services. It is not safe for concurrent use.
type Book struct {
	dataCentre string
	byID       map[string]*state
	byService  map[string][]*state
	random     func() float64
	// ranks orders the data centres by preference: 0 is the node's own, the others
	// follow in a ring by name, which spreads the preferences of all nodes evenly.
	ranks map[string]int
	// regions names the region of each data centre.
	regions map[string]string
	// ended holds the last incarnation of ids that are no longer listed.
	ended map[string]int64
	// evacuated are the data centres whose replicas are to get nothing; returned is when the others
	// were last taken back.
	evacuated map[string]bool
	returned  map[string]core.Time
	// coldBounds are what cold replicas of a service bear; self and senders are the nodes that share it.
	coldBounds map[string]coldstart.Bound
	self       core.NodeID
	senders    []core.NodeID
	// Pauses is what the pauses of all replicas have in common.
	Pauses pauses.Rhythm
}

// maxEnded bounds Book.ended. Beyond it all are forgotten: a late report of a former
// incarnation may then list a replica that is gone, which answers nothing.
const maxEnded = 4096

// NewBook makes an empty book for a node of the given data centre. The random
// source, 0 to 1, breaks ties.
func NewBook(dataCentre string, regions map[string]string, random func() float64) *Book {
	return &Book{dataCentre: dataCentre, regions: regions, byID: map[string]*state{}, byService: map[string][]*state{}, random: random, ranks: map[string]int{dataCentre: 0}, ended: map[string]int64{}, evacuated: map[string]bool{}, returned: map[string]core.Time{}}
}

// rank takes a data centre that may be new into the ring.
func (b *Book) rank(dataCentre string) {
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

// Listing is what a report of a replica came to.
type Listing int

// The outcomes of Put.
const (
	// Added lists a replica that was not known.
	Added Listing = iota
	// Updated takes new particulars of a known incarnation; what was seen of it stays.
	Updated
	// Restarted replaces a former incarnation, of which nothing counts any more.
	Restarted
	// Outdated is a report that is older than what is known; it changes nothing.
	Outdated
)

// Put takes a report of a replica.
//
// A report that was on its way while its replica started again comes after the new one's. Taken
// for the newest, it would bring back a replica that is gone, or one that drains as ready: an
// older start never replaces a newer one, nor an older report of one life a newer one.
func (b *Book) Put(replica Replica) Listing {
	known := b.byID[replica.ID]
	switch {
	case known == nil && replica.Born < b.ended[replica.ID]:
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
	known.Replica = replica
	known.lapsedAt = 0
	return Updated
}

func (b *Book) add(replica Replica) {
	delete(b.ended, replica.ID)
	b.rank(replica.DataCentre)
	added := &state{Replica: replica, slowness: 1}
	b.byID[replica.ID] = added
	b.byService[replica.Service] = append(b.byService[replica.Service], added)
}

// Remove forgets a replica.
func (b *Book) Remove(id string) {
	known := b.byID[id]
	if known == nil {
		return
	}
	delete(b.byID, id)
	if len(b.ended) >= maxEnded {
		clear(b.ended)
	}
	if known.Born > 0 {
		b.ended[id] = known.Born
	}
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
func (b *Book) Get(id string) (Replica, bool) {
	known := b.byID[id]
	if known == nil {
		return Replica{}, false
	}
	return known.Replica, true
}

// of finds what is known of an incarnation; nil where it is not the one that is listed: what
// happens to a former life says nothing of the present one.
func (b *Book) of(life Incarnation) *state {
	known := b.byID[life.ID]
	if known == nil || known.Born != life.Born {
		return nil
	}
	return known
}

// All calls visit for each replica.
func (b *Book) All(visit func(Replica)) {
	for _, known := range b.byID {
		visit(known.Replica)
	}
}

// Usable counts the replicas of a service that may get requests.
func (b *Book) Usable(service string) int {
	count := 0
	for _, known := range b.byService[service] {
		if b.usable(known) {
			count++
		}
	}
	return count
}

// usable reports whether a replica may get requests.
func (b *Book) usable(s *state) bool {
	return !s.Draining && !s.misdirected && !b.evacuated[s.DataCentre]
}

// Wanted reports whether an incarnation is one that may get requests.
func (b *Book) Wanted(life Incarnation) bool {
	known := b.of(life)
	return known != nil && b.usable(known)
}

// Choice is a replica for a request.
type Choice struct {
	Replica
	// Doubtful is set when the replica is overdue, failing or out of room: good
	// enough for a first try where there is no other, not for a hedge.
	Doubtful bool
	// Far is set when the replica is in another data centre.
	Far bool
	// Expect is how long its answer will probably take, 0 where that is not known.
	Expect time.Duration
	// Unreachable is set when the last request found no connection, a moment ago.
	Unreachable bool
	// Busy is set while a request of this node is in work there, whose end will tell more.
	Busy bool
}

// Unwanted reports whether a replica that another node chose is known here to get nothing: it
// leaves, has started again since, or its data centre is evacuated. One that is not known here
// may be new.
func (b *Book) Unwanted(chosen Replica) bool {
	known := b.byID[chosen.ID]
	switch {
	case b.evacuated[chosen.DataCentre]:
		return true
	case known == nil || known.Born < chosen.Born:
		return false
	default:
		return !b.Wanted(chosen.Life())
	}
}

// Wish says which replicas a request may go to.
type Wish struct {
	Service string
	// Tried are the ids of replicas to leave out.
	Tried []string
	// Regions are those whose replicas may be taken; none is all.
	Regions []string
	// Usual is the route's usual answer time, 0 where it is not known.
	Usual time.Duration
}

// Pick chooses the replica with the least cost. It reports false when there is none.
func (b *Book) Pick(wish Wish, now core.Time) (Choice, bool) {
	var best *state
	bestCost := math.Inf(1)
	for _, one := range b.byService[wish.Service] {
		if !b.usable(one) || slices.Contains(wish.Tried, one.ID) || !b.within(one, wish.Regions) || !b.bears(one, now) {
			continue
		}
		if cost := b.cost(one, wish.Usual, now); cost < bestCost {
			best, bestCost = one, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	b.takeCold(best, now)
	return Choice{Replica: best.Replica, Doubtful: best.doubtful(now) || b.pausing(best, wish.Usual, now), Far: best.DataCentre != b.dataCentre, Expect: best.expect(wish.Usual, now), Busy: best.outstanding > 0, Unreachable: best.unreachable(now)}, true
}

// cost estimates how long a request would take there, in usual answer times.
func (b *Book) cost(s *state, usual time.Duration, now core.Time) float64 {
	const tieBreak = 0.1
	cost := s.slownessNow(now) * (1 + s.queued())
	if rank := b.ranks[s.DataCentre]; rank > 0 {
		cost += remoteCost + rankCost*float64(rank-1)
	}
	if b.regions[s.DataCentre] != b.regions[b.dataCentre] {
		cost += regionCost
	}
	if s.overdue(now) || b.pausing(s, usual, now) {
		cost += overdueCost
	}
	if s.refused(now) {
		cost += refusedCost
	}
	cost += failureCost*s.failuresNow(now) + refusalCost*s.refusalsNow(now)
	return cost + tieBreak*b.random()
}

// expect is how long an answer will probably take.
func (s *state) expect(usual time.Duration, now core.Time) time.Duration {
	answer := time.Duration(float64(usual) * s.slownessNow(now))
	expected := time.Duration(float64(answer) * (1 + s.queued()))
	if s.outstanding > 0 {
		expected += max(now-s.silentSince-answer, 0)
	}
	return expected
}

// queued is how many rounds of its slots this node's own requests fill.
func (s *state) queued() float64 {
	slots := max(s.Slots, 1)
	return float64(max(s.outstanding+1-slots, 0)) / float64(slots)
}

func (s *state) slownessNow(now core.Time) float64 {
	return 1 + (s.slowness-1)*halved(now-s.slownessAt, slownessLife)
}

func (s *state) failuresNow(now core.Time) float64 {
	return s.failures * halved(now-s.failuresAt, failureLife)
}

func (s *state) refusalsNow(now core.Time) float64 {
	return s.refusals * halved(now-s.refusalsAt, refusalLife)
}

func halved(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (s *state) overdue(now core.Time) bool {
	return s.overdueAt > 0 && now-s.overdueAt < overdueLife
}

func (s *state) unreachable(now core.Time) bool {
	return s.unreachedAt > 0 && now-s.unreachedAt < unreachedLife
}

func (s *state) refused(now core.Time) bool {
	return s.refusedAt > 0 && now-s.refusedAt < refusedLife
}

func (s *state) doubtful(now core.Time) bool {
	const manyFailures = 0.5
	return s.overdue(now) || s.refused(now) || s.failuresNow(now) > manyFailures
}
