package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// A request is judged by the replicas that ended while it was in work there, wherever in the fleet that was seen.
//
// The failure: a request that ends each replica that begins to run it comes again and again, at any
// node. Judged try by try it ends all replicas of a service each time. Judged too quickly, the requests
// that were in work beside it, or at replicas that lost their VM, would be refused though they harm nobody.
//
// The rule holds since it rests on what only such a request brings about. First, replicas end under it, and none ever
// answers it: one answer clears a request. Second, they also end under trials: while a request is suspected it is
// sent to one replica at a time, and nothing else of it is in work. Other requests come through their trials,
// which cost them one answer time. Third, where several suspected requests were in work at a replica that
// ended, its end counts against the one under which most replicas have ended, and against none where that is
// not one alone.

const (
	// enoughEnded is the number of replicas that must have ended under a request that is set aside.
	enoughEnded = 3
	// enoughTrials of them must have ended under trials; one may be chance where replicas end in series.
	enoughTrials = 2
	// mostTrials is the number of trials without an answer that a request gets, whatever came of them: a trial may
	// end a replica without any node seeing that.
	mostTrials = 3
	// enoughVariants is the number of exact names under which replicas must have ended for the requests that bear
	// their broad one to be set aside.
	enoughVariants = 2
	// maxRecords bounds the names that are remembered, maxFacts the replicas of each and maxVariants the exact
	// names of a broad one.
	maxRecords  = 512
	maxFacts    = 64
	maxVariants = 8
	// lasts is how long a request that does not come again is remembered.
	lasts = time.Hour
)

// Ledger holds the records of a node. It is not safe for concurrent use.
type Ledger struct {
	records map[Key]*Record
	// heads counts the records by their requests without the body.
	heads map[Key]int
	// at are the requests known of each incarnation.
	at map[Incarnation][]Key
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[Key]*Record{}, heads: map[Key]int{}, at: map[Incarnation][]Key{}}
}

// Len is the number of requests that are remembered.
func (l *Ledger) Len() int { return len(l.records) }

// HasHead reports whether any request is remembered that differs by its body alone, by its broad name or its exact
// one.
func (l *Ledger) HasHead(heads Names) bool {
	return l.heads[heads.Exact] > 0 || l.heads[heads.Broad] > 0
}

// Observe is the standing of a request that has come, the more severe one of its names. It is remembered from now
// on for as long again.
func (l *Ledger) Observe(names Names, now core.Time) Standing {
	return max(l.see(names.Exact, now), l.see(names.Broad, now))
}

func (l *Ledger) see(key Key, now core.Time) Standing {
	known := l.records[key]
	if known == nil {
		return Trusted
	}
	known.SeenAt = now
	return known.standing
}

// StandingAtShard returns the standing of an incoming request at one shard: the more severe one of its two names.
func (l *Ledger) StandingAtShard(names Names, shard Shard) Standing {
	return max(l.seeShard(names.Exact, shard), l.seeShard(names.Broad, shard))
}

func (l *Ledger) seeShard(key Key, shard Shard) Standing {
	if known := l.records[key]; known != nil {
		return known.ShardStanding(shard)
	}
	return Trusted
}

// Get finds the record of a request; nil is none.
func (l *Ledger) Get(key Key) *Record { return l.records[key] }

// Merge takes facts up, this node's own or another one's, and returns what changed by them: the record itself, and others
// whose standing they change.
func (l *Ledger) Merge(told Record, now core.Time) []Change {
	known := l.records[told.Key]
	if known == nil && len(told.Facts) == 0 {
		return nil
	}
	if known == nil {
		known = l.begin(told, now)
	}
	known.SeenAt = max(known.SeenAt, told.SeenAt)
	fresh := known.addVariants(told.Variants)
	affected := map[Shard]bool{}
	if len(known.Facts)+len(told.Facts) > maxFacts {
		// Facts of other shards may have to make room.
		affected = known.allShards()
	}
	for life, fact := range told.Facts {
		if l.add(known, life, told.Shards[life], fact) {
			fresh = true
			affected[known.Shards[life]] = true
		}
	}
	if !fresh {
		return nil
	}
	if len(affected) == 0 || len(told.Variants) > 0 {
		affected = known.allShards()
	}
	return l.judge(known, affected)
}

// MarkAnswered records that a replica of the shard has answered a request. It clears both names of the request as a whole
// and at that shard, but not at other shards.
func (l *Ledger) MarkAnswered(names Names, shard Shard) []Change {
	return append(l.answered(names.Exact, shard), l.answered(names.Broad, shard)...)
}

func (l *Ledger) answered(key Key, shard Shard) []Change {
	known := l.records[key]
	if known == nil {
		return nil
	}
	fresh := false
	for life, fact := range known.Facts {
		cleared := fact | Cleared
		if held := known.Shards[life]; held == shard || held == 0 {
			cleared |= ShardCleared
		}
		fresh = fresh || cleared != fact
		known.Facts[life] = cleared
	}
	if !fresh {
		return nil
	}
	return l.judge(known, map[Shard]bool{shard: true})
}

func (l *Ledger) begin(told Record, now core.Time) *Record {
	if len(l.records) >= maxRecords {
		l.evict()
	}
	begun := &Record{Key: told.Key, Head: told.Head, Description: told.Description, Level: told.Level, Facts: map[Incarnation]Fact{}, Shards: map[Incarnation]Shard{}, Variants: map[uint64]struct{}{}, FirstAt: now, SeenAt: told.SeenAt, shards: map[Shard]Standing{}}
	l.records[told.Key] = begun
	l.heads[told.Head]++
	return begun
}

// add takes one fact up and reports whether it was not known. Of too many replicas those of trials stay, and of
// the others those with the lowest names, so that nodes which hear of them in another order keep the same.
func (l *Ledger) add(r *Record, life Incarnation, shard Shard, fact Fact) bool {
	known, held := r.Facts[life]
	shardLearned := held && r.Shards[life] == 0 && shard != 0
	if held && known|fact == known && !shardLearned {
		return false
	}
	if !held && len(r.Facts) >= maxFacts && !l.makeRoom(r, life, fact) {
		return false
	}
	r.Facts[life] = known | fact
	if shard != 0 {
		r.Shards[life] = shard
	}
	if !held {
		l.at[life] = append(l.at[life], r.Key)
	}
	return true
}

func (l *Ledger) makeRoom(r *Record, life Incarnation, fact Fact) bool {
	worst, found := Incarnation(0), false
	for other, held := range r.Facts {
		if held&(Trial|ShardTrial) == 0 && (!found || other > worst) {
			worst, found = other, true
		}
	}
	if !found || fact&(Trial|ShardTrial) == 0 && life > worst {
		return false
	}
	delete(r.Facts, worst)
	delete(r.Shards, worst)
	l.leave(worst, r.Key)
	return true
}

func (l *Ledger) leave(life Incarnation, key Key) {
	keys := slices.DeleteFunc(l.at[life], func(one Key) bool { return one == key })
	if len(keys) == 0 {
		delete(l.at, life)
		return
	}
	l.at[life] = keys
}

// evict forgets a request: of those that are treated mildest the one that was seen longest ago.
func (l *Ledger) evict() {
	var first *Record
	for _, one := range l.records {
		if first == nil || cmp.Or(cmp.Compare(one.Severity(), first.Severity()), cmp.Compare(one.SeenAt, first.SeenAt), slices.Compare(one.Key[:], first.Key[:])) < 0 {
			first = one
		}
	}
	l.forget(first)
}

func (l *Ledger) forget(r *Record) {
	delete(l.records, r.Key)
	if l.heads[r.Head]--; l.heads[r.Head] <= 0 {
		delete(l.heads, r.Head)
	}
	for life := range r.Facts {
		l.leave(life, r.Key)
	}
}

// Expire forgets the requests that have not come for long.
func (l *Ledger) Expire(now core.Time) {
	for _, one := range l.records {
		if now-one.SeenAt >= lasts {
			l.forget(one)
		}
	}
}

// judge updates the standings of a record whose facts changed at the affected shards, and of records that share
// replicas with it.
func (l *Ledger) judge(changed *Record, affected map[Shard]bool) []Change {
	changes := []Change{{Record: changed, Previous: l.judgeOne(changed, affected), New: true}}
	seen := map[Key]bool{changed.Key: true}
	for life := range changed.Facts {
		for _, key := range l.at[life] {
			other := l.records[key]
			if seen[key] {
				continue
			}
			seen[key] = true
			if former := l.judgeOne(other, affected); former != other.Severity() {
				changes = append(changes, Change{Record: other, Previous: former})
			}
		}
	}
	return changes
}

// judgeOne updates the standings of a record as a whole and at the given shards, and returns its former severity.
func (l *Ledger) judgeOne(r *Record, shards map[Shard]bool) (former Standing) {
	former = r.Severity()
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
	return former
}

func (l *Ledger) standing(r *Record, within scope) Standing {
	weight := r.ended(within)
	if weight == 0 || r.broad() && weight < enoughEnded {
		return Trusted
	}
	if r.broad() && len(r.Variants) < enoughVariants {
		return Suspect
	}
	trials, ended := 0, 0
	for life, fact := range r.Facts {
		if !within.includes(r, life) || !fact.counts(within.trial, within.cleared) || l.contested(r, within, weight, life) {
			continue
		}
		trials++
		if fact.counts(Ended, within.cleared) {
			ended++
		}
	}
	if weight >= enoughEnded && (ended >= enoughTrials || trials >= mostTrials && within.countsUnconfirmedTrials(r)) {
		return SetAside
	}
	return Suspect
}

// contested reports whether another request was in work at a replica that ended, under which as many have ended.
func (l *Ledger) contested(r *Record, within scope, weight int, life Incarnation) bool {
	for _, key := range l.at[life] {
		other := l.records[key]
		if key == r.Key || other.broad() != r.broad() || other.Level != r.Level {
			continue
		}
		if other.Facts[life].counts(Ended, within.cleared) && other.ended(within) >= weight {
			return true
		}
	}
	return false
}

// Count returns the number of names whose severity is the given standing.
func (l *Ledger) Count(standing Standing) int {
	total := 0
	for _, one := range l.records {
		if one.Severity() == standing {
			total++
		}
	}
	return total
}

// Records lists what is remembered, the most severe and the last seen first.
func (l *Ledger) Records() []*Record {
	list := make([]*Record, 0, len(l.records))
	for _, one := range l.records {
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(b.Severity(), a.Severity()), cmp.Compare(b.SeenAt, a.SeenAt), slices.Compare(a.Key[:], b.Key[:]))
	})
	return list
}

// Digest sums up the facts on the requests that are set aside; 0 is none. Nodes that know the same of them have
// the same one, in whatever order they heard of it.
func (l *Ledger) Digest() uint64 {
	var digest uint64
	for _, one := range l.records {
		if one.Severity() != SetAside {
			continue
		}
		seed := core.Mix64(binary.BigEndian.Uint64(one.Key[:]))
		for life, fact := range one.Facts {
			digest ^= core.Mix64(seed ^ core.Mix64(uint64(life)) ^ uint64(fact))
		}
	}
	return digest
}
