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

// Standing is how a request is treated.
type Standing uint8

// The standings of a request, by rising severity.
const (
	// Trusted requests are sent as usual.
	Trusted Standing = iota
	// Suspect requests are sent to one replica at a time until one has answered.
	Suspect
	// SetAside requests are rejected.
	SetAside
)

// String names the standing.
func (s Standing) String() string {
	return [...]string{"trusted", "suspect", "set_aside"}[s]
}

// Life names an incarnation of a replica by a hash of its id and start.
type Life uint64

// Fact is what came of a request at one incarnation of a replica. Each mark is only ever set, so that
// facts from several nodes give the same in any order.
type Fact uint8

// The marks of a fact.
const (
	// Ended marks a replica that ended while the request was in work there.
	Ended Fact = 1 << iota
	// Trial marks a replica that the request was sent to while nothing else of it was in work, and that did not
	// answer.
	Trial
	// Cleared marks what no longer speaks against the request: it was answered later, or did not run.
	Cleared
)

func (f Fact) counts(marks Fact) bool { return f&marks == marks && f&Cleared == 0 }

// Record is what is known of one request.
type Record struct {
	Key Key
	// Head is the key of the request without its body.
	Head Key
	// What describes the request to operators.
	What  string
	Facts map[Life]Fact
	// Variants are hashes of the exact names under which replicas ended, where Key is a broad one; none otherwise.
	Variants map[uint64]struct{}
	// FirstAt is when this node first heard of it, SeenAt when it or news of it came last.
	FirstAt core.Time
	SeenAt  core.Time
	// standing is kept up to date by the ledger.
	standing Standing
}

// Standing is how the request is treated.
func (r *Record) Standing() Standing { return r.standing }

// Ended counts the replicas that ended under the request and speak against it.
func (r *Record) Ended() int { return r.count(Ended) }

func (r *Record) count(marks Fact) int {
	total := 0
	for _, fact := range r.Facts {
		if fact.counts(marks) {
			total++
		}
	}
	return total
}

// Change is a record whose facts or standing changed.
type Change struct {
	Record *Record
	// Former is the standing before.
	Former Standing
	// New is set when the change holds facts that were not known.
	New bool
}

// Ledger holds the records of a node. It is not safe for concurrent use.
type Ledger struct {
	records map[Key]*Record
	// heads counts the records by their requests without the body.
	heads map[Key]int
	// at are the requests known of each incarnation.
	at map[Life][]Key
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: map[Key]*Record{}, heads: map[Key]int{}, at: map[Life][]Key{}}
}

// Len is the number of requests that are remembered.
func (l *Ledger) Len() int { return len(l.records) }

// KnowsHead reports whether any request is remembered that differs by its body alone, by its broad name or its exact
// one.
func (l *Ledger) KnowsHead(heads Names) bool {
	return l.heads[heads.Exact] > 0 || l.heads[heads.Broad] > 0
}

// See is the standing of a request that has come, the more severe one of its names. It is remembered from now
// on for as long again.
func (l *Ledger) See(names Names, now core.Time) Standing {
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
	fresh := false
	for life, fact := range told.Facts {
		fresh = l.add(known, life, fact) || fresh
	}
	fresh = known.addVariants(told.Variants) || fresh
	if !fresh {
		return nil
	}
	return l.judge(known)
}

// addVariants takes up exact names of a broad one and reports whether any was not known.
func (r *Record) addVariants(told map[uint64]struct{}) bool {
	fresh := false
	for one := range told {
		if _, held := r.Variants[one]; !held && len(r.Variants) < maxVariants {
			r.Variants[one] = struct{}{}
			fresh = true
		}
	}
	return fresh
}

// Answered clears a request by both of its names: a replica has answered it.
func (l *Ledger) Answered(names Names) []Change {
	return append(l.answered(names.Exact), l.answered(names.Broad)...)
}

func (l *Ledger) answered(key Key) []Change {
	known := l.records[key]
	if known == nil {
		return nil
	}
	fresh := false
	for life, fact := range known.Facts {
		if fact&Cleared == 0 {
			known.Facts[life] = fact | Cleared
			fresh = true
		}
	}
	if !fresh {
		return nil
	}
	return l.judge(known)
}

func (l *Ledger) begin(told Record, now core.Time) *Record {
	if len(l.records) >= maxRecords {
		l.evict()
	}
	begun := &Record{Key: told.Key, Head: told.Head, What: told.What, Facts: map[Life]Fact{}, Variants: map[uint64]struct{}{}, FirstAt: now, SeenAt: told.SeenAt}
	l.records[told.Key] = begun
	l.heads[told.Head]++
	return begun
}

// add takes one fact up and reports whether it was not known. Of too many replicas those of trials stay, and of
// the others those with the lowest names, so that nodes which hear of them in another order keep the same.
func (l *Ledger) add(r *Record, life Life, fact Fact) bool {
	known, held := r.Facts[life]
	if held && known|fact == known {
		return false
	}
	if !held && len(r.Facts) >= maxFacts && !l.makeRoom(r, life, fact) {
		return false
	}
	r.Facts[life] = known | fact
	if !held {
		l.at[life] = append(l.at[life], r.Key)
	}
	return true
}

func (l *Ledger) makeRoom(r *Record, life Life, fact Fact) bool {
	worst, found := Life(0), false
	for other, held := range r.Facts {
		if held&Trial == 0 && (!found || other > worst) {
			worst, found = other, true
		}
	}
	if !found || fact&Trial == 0 && life > worst {
		return false
	}
	delete(r.Facts, worst)
	l.leave(worst, r.Key)
	return true
}

func (l *Ledger) leave(life Life, key Key) {
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
		if first == nil || cmp.Or(cmp.Compare(one.standing, first.standing), cmp.Compare(one.SeenAt, first.SeenAt), slices.Compare(one.Key[:], first.Key[:])) < 0 {
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

// judge judges a record whose facts changed, and those that it shares replicas with.
func (l *Ledger) judge(changed *Record) []Change {
	changes := []Change{{Record: changed, Former: changed.standing, New: true}}
	changed.standing = l.standing(changed)
	seen := map[Key]bool{changed.Key: true}
	for life := range changed.Facts {
		for _, key := range l.at[life] {
			other := l.records[key]
			if seen[key] {
				continue
			}
			seen[key] = true
			if next := l.standing(other); next != other.standing {
				changes = append(changes, Change{Record: other, Former: other.standing})
				other.standing = next
			}
		}
	}
	return changes
}

func (l *Ledger) standing(r *Record) Standing {
	weight := r.Ended()
	if weight == 0 || r.broad() && weight < enoughEnded {
		return Trusted
	}
	if r.broad() && len(r.Variants) < enoughVariants {
		return Suspect
	}
	trials, ended := 0, 0
	for life, fact := range r.Facts {
		if !fact.counts(Trial) || l.contested(r, weight, life) {
			continue
		}
		trials++
		if fact.counts(Ended) {
			ended++
		}
	}
	if weight >= enoughEnded && (ended >= enoughTrials || trials >= mostTrials) {
		return SetAside
	}
	return Suspect
}

func (r *Record) broad() bool { return len(r.Variants) > 0 }

// contested reports whether another request was in work at a replica that ended, under which as many have ended.
func (l *Ledger) contested(r *Record, weight int, life Life) bool {
	for _, key := range l.at[life] {
		other := l.records[key]
		if key == r.Key || other.broad() != r.broad() {
			continue
		}
		if other.Facts[life].counts(Ended) && other.Ended() >= weight {
			return true
		}
	}
	return false
}

// Count is the number of names with a standing.
func (l *Ledger) Count(standing Standing) int {
	total := 0
	for _, one := range l.records {
		if one.standing == standing {
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
		return cmp.Or(cmp.Compare(b.standing, a.standing), cmp.Compare(b.SeenAt, a.SeenAt), slices.Compare(a.Key[:], b.Key[:]))
	})
	return list
}

// Digest sums up the facts on the requests that are set aside; 0 is none. Nodes that know the same of them have
// the same one, in whatever order they heard of it.
func (l *Ledger) Digest() uint64 {
	var digest uint64
	for _, one := range l.records {
		if one.standing != SetAside {
			continue
		}
		seed := core.Mix64(binary.BigEndian.Uint64(one.Key[:]))
		for life, fact := range one.Facts {
			digest ^= core.Mix64(seed ^ core.Mix64(uint64(life)) ^ uint64(fact))
		}
	}
	return digest
}
