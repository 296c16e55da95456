package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bounds of ShardVersions. A shard that lists more versions counts with its
// newest; a new shard that finds the table full is not remembered.
const (
	maxKnownShards   = 1 << 16
	maxKnownVersions = 8
)

// ShardVersions remembers which versions each shard last said it serves. It only
// chooses the version to try first; an answer is checked by its own parts.
type ShardVersions struct {
	serves map[core.ShardRef][]core.Version
	limit  int
}

// NewShardVersions makes an empty ShardVersions.
func NewShardVersions() *ShardVersions {
	return &ShardVersions{serves: map[core.ShardRef][]core.Version{}, limit: maxKnownShards}
}

// UpToDate reports whether learning the shard's word would change nothing.
func (k *ShardVersions) UpToDate(ref core.ShardRef, serves []core.Version) bool {
	known, ok := k.serves[ref]
	return len(serves) == 0 || !ok && len(k.serves) >= k.limit || slices.Equal(known, serves)
}

// Update takes a shard's own word.
func (k *ShardVersions) Update(ref core.ShardRef, serves []core.Version) {
	if k.UpToDate(ref, serves) {
		return
	}
	kept := slices.Clone(serves)
	if len(kept) > maxKnownVersions {
		slices.Sort(kept)
		kept = kept[len(kept)-maxKnownVersions:]
	}
	k.serves[ref] = kept
}

// Retain forgets the shards that the text no longer lists.
func (k *ShardVersions) Retain(listed func(core.ShardRef) bool) {
	for ref := range k.serves {
		if !listed(ref) {
			delete(k.serves, ref)
		}
	}
}

// Len is the number of shards remembered.
func (k *ShardVersions) Len() int { return len(k.serves) }

// Preferred returns the version that the fewest shards of the plan are known to
// lack, the newest of equals: the newest version of all shards where there is
// one. It is 0 when nothing is known.
func (k *ShardVersions) Preferred(plan *Plan) core.Version {
	var counts []versionCount
	for i := range plan.Needs {
		for _, version := range k.serves[plan.Needs[i].Ref] {
			counts = count(counts, version)
		}
	}
	return most(counts, 0)
}
