package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// RetryAfter is the retry delay returned when a request that is set aside is rejected.
const RetryAfter = time.Minute

// Standing determines how a request is treated.
type Standing uint8

// The standings of a request, by increasing severity.
const (
	// Trusted requests are sent as usual.
	Trusted Standing = iota
	// Suspect requests are sent to one replica at a time until one has answered.
	Suspect
	// SetAside requests are rejected.
	SetAside
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"trusted", "suspect", "set_aside"}[s]
}

// Incarnation identifies an incarnation of a replica by a hash of its id and start time.
type Incarnation uint64

// Fact is a set of marks for a request at one incarnation of a replica. Marks are only ever added, so that facts merged
// from several nodes give the same result in any order.
type Fact uint8

// Marks of a fact.
const (
	// Ended marks a replica that ended while the request was in flight there.
	Ended Fact = 1 << iota
	// Trial marks a replica that did not answer the request while it had no other send in flight.
	Trial
	// Cleared marks a fact that no longer counts against the request: it was answered later, or did not run.
	Cleared
	// ShardTrial marks a replica that did not answer the request while it had no other send in flight at that shard.
	ShardTrial
	// ShardCleared marks a fact that no longer counts at its shard: a replica of that shard answered later.
	ShardCleared
)

// hasUncleared reports whether the fact has all the marks and does not have the cleared mark.
func (f Fact) hasUncleared(marks, cleared Fact) bool { return f&marks == marks && f&cleared == 0 }

// Shard is a hash that identifies the shard of a replica; 0 is unknown.
type Shard uint64

// ShardOf returns the Shard for a name. A service that is not split has one shard, named after it.
func ShardOf(name string) Shard {
	key := hashParts(name)
	return Shard(binary.BigEndian.Uint64(key[:]))
}

// scope selects the facts that a standing is computed from: those of all shards, or those of one.
//
// A separate standing per shard guards against a request that ends the replicas of one shard while other shards answer
// it: their answers clear the request as a whole, so it would be sent to the failing shard again each time.
type scope struct {
	// shard is 0 for all shards.
	shard Shard
	// trial and cleared are the marks used in this scope.
	trial, cleared Fact
}

func requestScope() scope { return scope{trial: Trial, cleared: Cleared} }

func shardScope(shard Shard) scope {
	return scope{shard: shard, trial: ShardTrial, cleared: ShardCleared}
}

// covers reports whether the fact of an incarnation belongs to the scope.
func (s scope) covers(r *Record, id Incarnation) bool { return s.shard == 0 || r.Shards[id] == s.shard }

// Record holds the facts about one request.
type Record struct {
	Key Key
	// Head is the key of the request without its body.
	Head Key
	// Description describes the request for operators.
	Description string
	// Level is Identity.Level. Records of different levels may be of one request and do not contest each other.
	Level uint8
	Facts map[Incarnation]Fact
	// Shards maps incarnations to their shards, where known.
	Shards map[Incarnation]Shard
	// Variants are hashes of the exact names under which replicas ended if Key is a broad name; otherwise it is empty.
	Variants map[uint64]struct{}
	// FirstAt is when this node created the record. SeenAt is when the request, or an update about it, was last
	// received.
	FirstAt core.Time
	SeenAt  core.Time
	// standing and shards are maintained by the ledger. shards holds only shards where the request is not trusted.
	standing Standing
	shards   map[Shard]Standing
}

// Standing returns the standing of the request as a whole.
func (r *Record) Standing() Standing { return r.standing }

// ShardStanding returns the standing of the request at one shard.
func (r *Record) ShardStanding(shard Shard) Standing { return r.shards[shard] }

// Severity returns the most severe standing of the request, as a whole or at any shard.
func (r *Record) Severity() Standing {
	severity := r.standing
	for _, standing := range r.shards {
		severity = max(severity, standing)
	}
	return severity
}

// SetAsideShards counts the shards where the request is set aside. It is 0 if the request is set aside as a whole.
func (r *Record) SetAsideShards() int {
	total := 0
	for _, standing := range r.shards {
		if standing == SetAside && r.standing != SetAside {
			total++
		}
	}
	return total
}

// EndedCount counts the replicas that ended under the request and are not cleared both as a whole and at their shard.
func (r *Record) EndedCount() int {
	total := 0
	for _, fact := range r.Facts {
		if fact.hasUncleared(Ended, Cleared) || fact.hasUncleared(Ended, ShardCleared) {
			total++
		}
	}
	return total
}

// endedIn counts the replicas in a scope that ended under the request and are not cleared there.
func (r *Record) endedIn(within scope) int {
	total := 0
	for incarnation, fact := range r.Facts {
		if within.covers(r, incarnation) && fact.hasUncleared(Ended, within.cleared) {
			total++
		}
	}
	return total
}

// Change is a record with changed facts or standing.
type Change struct {
	Record *Record
	// Previous is the severity before the change.
	Previous Standing
	// New is set when the change adds facts.
	New bool
}

// allShards returns the shards of all facts of the record.
func (r *Record) allShards() map[Shard]bool {
	all := map[Shard]bool{}
	for incarnation := range r.Facts {
		all[r.Shards[incarnation]] = true
	}
	return all
}

// addVariants adds exact names of a broad one and reports whether any of them is new.
func (r *Record) addVariants(names map[uint64]struct{}) bool {
	fresh := false
	for name := range names {
		if _, held := r.Variants[name]; !held && len(r.Variants) < maxVariants {
			r.Variants[name] = struct{}{}
			fresh = true
		}
	}
	return fresh
}

// countsUnconfirmedTrials reports whether trials count even if no replica is known to have ended in them. For a broad name
// at one shard they don't: a shard that stops responding after a crash would have unrelated requests set aside.
func (s scope) countsUnconfirmedTrials(r *Record) bool { return s.shard == 0 || !r.isBroad() }

func (r *Record) isBroad() bool { return len(r.Variants) > 0 }
