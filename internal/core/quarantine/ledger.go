package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A request is judged by the replicas that ended while it was in flight there, at whichever node that was observed.
//
// This guards against a request that ends each replica that runs it and is repeated again and again, at any node. If
// each attempt were judged alone, it would end all replicas of a service each time. If requests were rejected too soon,
// harmless requests would be rejected too: those that were in flight beside it, or at replicas that lost their VM.
//
// The rule relies on effects that only such a request has. First, replicas end under it and none ever answers it: one
// answer clears a request. Second, replicas also end under trials: while a request is suspect it is sent to one replica
// at a time, with no other send of it in flight. Other requests pass their trials, at the cost of one answer time.
// Third, where several suspect requests were in flight at a replica that ended, the end counts only against the request
// under which the most replicas have ended, and against none if several have equally many.

const (
	// minEnded is the number of replicas that must have ended under a request before it is set aside.
	minEnded = 3
	// minEndedTrials is how many of them must have ended under trials. One may be chance where replicas end in series.
	minEndedTrials = 2
	// maxTrials is the number of unanswered trials after which a request is set aside, whether or not their replicas
	// are known to have ended: a trial may end a replica without any node observing it.
	maxTrials = 3
	// minVariants is the number of exact names under which replicas must have ended before requests with their broad
	// name are set aside.
	minVariants = 2
	// maxRecords limits the stored names, maxFacts the replicas of each and maxVariants the exact names of a broad one.
	maxRecords  = 512
	maxFacts    = 64
	maxVariants = 8
	// retention is how long a request is stored after it was last received.
	retention = time.Hour
)

// Ledger holds the records of a node. It is not safe for concurrent use.
type Ledger struct {
	records map[Key]*Record
	// headCounts counts the records by head, the key of the request without its body.
	headCounts map[Key]int
	// keysByIncarnation lists the requests that have a fact for each incarnation.
	keysByIncarnation map[Incarnation][]Key
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[Key]*Record{}, headCounts: map[Key]int{}, keysByIncarnation: map[Incarnation][]Key{}}
}

// Len returns the number of stored records.
func (l *Ledger) Len() int { return len(l.records) }

// HasHead reports whether a record exists for a request that has the same exact or broad name without the body.
func (l *Ledger) HasHead(heads Names) bool {
	return l.headCounts[heads.Exact] > 0 || l.headCounts[heads.Broad] > 0
}

// Observe returns the standing of an incoming request, the more severe one of its two names, and renews the retention
// of their records.
func (l *Ledger) Observe(names Names, now core.Time) Standing {
	return max(l.observe(names.Exact, now), l.observe(names.Broad, now))
}

func (l *Ledger) observe(key Key, now core.Time) Standing {
	known := l.records[key]
	if known == nil {
		return Trusted
	}
	known.SeenAt = now
	return known.standing
}

// StandingAtShard returns the standing of an incoming request at one shard: the more severe one of its two names.
func (l *Ledger) StandingAtShard(names Names, shard Shard) Standing {
	return max(l.standingAtShard(names.Exact, shard), l.standingAtShard(names.Broad, shard))
}

func (l *Ledger) standingAtShard(key Key, shard Shard) Standing {
	if known := l.records[key]; known != nil {
		return known.ShardStanding(shard)
	}
	return Trusted
}

// Get returns the record of a request, or nil.
func (l *Ledger) Get(key Key) *Record { return l.records[key] }

// Merge adds facts of this node or another one. It returns the resulting changes: of the record itself, and of other
// records whose standing they change.
func (l *Ledger) Merge(update Record, now core.Time) []Change {
	known := l.records[update.Key]
	if known == nil && len(update.Facts) == 0 {
		return nil
	}
	if known == nil {
		known = l.newRecord(update, now)
	}
	known.SeenAt = max(known.SeenAt, update.SeenAt)
	fresh := known.addVariants(update.Variants)
	affected := map[Shard]bool{}
	if len(known.Facts)+len(update.Facts) > maxFacts {
		// Facts of other shards may be evicted.
		affected = known.allShards()
	}
	for incarnation, fact := range update.Facts {
		if l.addFact(known, incarnation, update.Shards[incarnation], fact) {
			fresh = true
			affected[known.Shards[incarnation]] = true
		}
	}
	if !fresh {
		return nil
	}
	if len(affected) == 0 || len(update.Variants) > 0 {
		affected = known.allShards()
	}
	return l.updateStandings(known, affected)
}

// MarkAnswered records that a replica of the shard has answered a request. It clears both names of the request as a
// whole and at that shard, but not at other shards.
func (l *Ledger) MarkAnswered(names Names, shard Shard) []Change {
	return append(l.markAnswered(names.Exact, shard), l.markAnswered(names.Broad, shard)...)
}

func (l *Ledger) markAnswered(key Key, shard Shard) []Change {
	known := l.records[key]
	if known == nil {
		return nil
	}
	fresh := false
	for incarnation, fact := range known.Facts {
		cleared := fact | Cleared
		if held := known.Shards[incarnation]; held == shard || held == 0 {
			cleared |= ShardCleared
		}
		fresh = fresh || cleared != fact
		known.Facts[incarnation] = cleared
	}
	if !fresh {
		return nil
	}
	return l.updateStandings(known, map[Shard]bool{shard: true})
}

func (l *Ledger) newRecord(update Record, now core.Time) *Record {
	if len(l.records) >= maxRecords {
		l.evict()
	}
	record := &Record{Key: update.Key, Head: update.Head, Description: update.Description, Level: update.Level, Facts: map[Incarnation]Fact{}, Shards: map[Incarnation]Shard{}, Variants: map[uint64]struct{}{}, FirstAt: now, SeenAt: update.SeenAt, shards: map[Shard]Standing{}}
	l.records[update.Key] = record
	l.headCounts[update.Head]++
	return record
}

// addFact adds one fact and reports whether it is new. If there are too many, it keeps those with a trial and, of the
// others, those with the lowest incarnation values, so that all nodes keep the same ones in whatever order they receive
// them.
func (l *Ledger) addFact(r *Record, incarnation Incarnation, shard Shard, fact Fact) bool {
	known, held := r.Facts[incarnation]
	shardLearned := held && r.Shards[incarnation] == 0 && shard != 0
	if held && known|fact == known && !shardLearned {
		return false
	}
	if !held && len(r.Facts) >= maxFacts && !l.makeRoom(r, incarnation, fact) {
		return false
	}
	r.Facts[incarnation] = known | fact
	if shard != 0 {
		r.Shards[incarnation] = shard
	}
	if !held {
		l.keysByIncarnation[incarnation] = append(l.keysByIncarnation[incarnation], r.Key)
	}
	return true
}

func (l *Ledger) makeRoom(r *Record, incarnation Incarnation, fact Fact) bool {
	worst, found := Incarnation(0), false
	for other, held := range r.Facts {
		if held&(Trial|ShardTrial) == 0 && (!found || other > worst) {
			worst, found = other, true
		}
	}
	if !found || fact&(Trial|ShardTrial) == 0 && incarnation > worst {
		return false
	}
	delete(r.Facts, worst)
	delete(r.Shards, worst)
	l.removeKey(worst, r.Key)
	return true
}

func (l *Ledger) removeKey(incarnation Incarnation, key Key) {
	keys := slices.DeleteFunc(l.keysByIncarnation[incarnation], func(other Key) bool { return other == key })
	if len(keys) == 0 {
		delete(l.keysByIncarnation, incarnation)
		return
	}
	l.keysByIncarnation[incarnation] = keys
}

// evict removes the record with the lowest severity; of several, the one that was seen longest ago.
func (l *Ledger) evict() {
	var victim *Record
	for _, record := range l.records {
		if victim == nil || cmp.Or(cmp.Compare(record.Severity(), victim.Severity()), cmp.Compare(record.SeenAt, victim.SeenAt), slices.Compare(record.Key[:], victim.Key[:])) < 0 {
			victim = record
		}
	}
	l.remove(victim)
}

func (l *Ledger) remove(r *Record) {
	delete(l.records, r.Key)
	if l.headCounts[r.Head]--; l.headCounts[r.Head] <= 0 {
		delete(l.headCounts, r.Head)
	}
	for incarnation := range r.Facts {
		l.removeKey(incarnation, r.Key)
	}
}

// Expire removes the records whose retention has ended.
func (l *Ledger) Expire(now core.Time) {
	for _, record := range l.records {
		if now-record.SeenAt >= retention {
			l.remove(record)
		}
	}
}

// updateStandings updates the standings of a record whose facts changed at the affected shards, and of records that
// share replicas with it.
func (l *Ledger) updateStandings(changed *Record, affected map[Shard]bool) []Change {
	changes := []Change{{Record: changed, Previous: l.updateRecord(changed, affected), New: true}}
	seen := map[Key]bool{changed.Key: true}
	for incarnation := range changed.Facts {
		for _, key := range l.keysByIncarnation[incarnation] {
			other := l.records[key]
			if seen[key] {
				continue
			}
			seen[key] = true
			if previous := l.updateRecord(other, affected); previous != other.Severity() {
				changes = append(changes, Change{Record: other, Previous: previous})
			}
		}
	}
	return changes
}

// updateRecord updates the standings of a record as a whole and at the given shards, and returns its previous severity.
func (l *Ledger) updateRecord(r *Record, shards map[Shard]bool) (previous Standing) {
	previous = r.Severity()
	r.standing = l.standing(r, requestScope())
	for shard := range shards {
		if shard == 0 {
			continue
		}
		if standing := l.standing(r, shardScope(shard)); standing != Trusted {
			r.shards[shard] = standing
		} else {
			delete(r.shards, shard)
		}
	}
	return previous
}

func (l *Ledger) standing(r *Record, within scope) Standing {
	weight := r.endedIn(within)
	if weight == 0 || r.isBroad() && weight < minEnded {
		return Trusted
	}
	if r.isBroad() && len(r.Variants) < minVariants {
		return Suspect
	}
	trials, ended := 0, 0
	for incarnation, fact := range r.Facts {
		if !within.covers(r, incarnation) || !fact.hasUncleared(within.trial, within.cleared) || l.isContested(r, within, weight, incarnation) {
			continue
		}
		trials++
		if fact.hasUncleared(Ended, within.cleared) {
			ended++
		}
	}
	if weight >= minEnded && (ended >= minEndedTrials || trials >= maxTrials && within.countsUnconfirmedTrials(r)) {
		return SetAside
	}
	return Suspect
}

// isContested reports whether another request was in flight at the incarnation when it ended, and at least as many
// replicas have ended under that request.
func (l *Ledger) isContested(r *Record, within scope, weight int, incarnation Incarnation) bool {
	for _, key := range l.keysByIncarnation[incarnation] {
		other := l.records[key]
		if key == r.Key || other.isBroad() != r.isBroad() || other.Level != r.Level {
			continue
		}
		if other.Facts[incarnation].hasUncleared(Ended, within.cleared) && other.endedIn(within) >= weight {
			return true
		}
	}
	return false
}

// Count returns the number of names whose severity is the given standing.
func (l *Ledger) Count(standing Standing) int {
	total := 0
	for _, record := range l.records {
		if record.Severity() == standing {
			total++
		}
	}
	return total
}

// Records returns all records, the most severe first and then the last seen first.
func (l *Ledger) Records() []*Record {
	list := make([]*Record, 0, len(l.records))
	for _, record := range l.records {
		list = append(list, record)
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(b.Severity(), a.Severity()), cmp.Compare(b.SeenAt, a.SeenAt), slices.Compare(a.Key[:], b.Key[:]))
	})
	return list
}

// Digest is a hash of the facts of all requests that are set aside; 0 if there are none. Nodes with the same facts have
// the same digest, in whatever order they received them.
func (l *Ledger) Digest() uint64 {
	var digest uint64
	for _, record := range l.records {
		if record.Severity() != SetAside {
			continue
		}
		seed := core.Mix64(binary.BigEndian.Uint64(record.Key[:]))
		for incarnation, fact := range record.Facts {
			digest ^= core.Mix64(seed ^ core.Mix64(uint64(incarnation)) ^ uint64(fact))
		}
	}
	return digest
}
