package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Bounds of ShardVersions. Of a shard that lists more versions, the newest are kept. A new shard is
// not recorded while the table is full.
const (
	maxKnownShards   = 1 << 16
	maxKnownVersions = 8
)

// ShardVersions records which versions each shard last reported to serve. It only selects the
// version to request first; an answer is checked by its own parts.
type ShardVersions struct {
	serves map[core.ShardRef][]core.Version
	limit  int
}

// NewShardVersions returns an empty table.
func NewShardVersions() *ShardVersions {
	return &ShardVersions{serves: map[core.ShardRef][]core.Version{}, limit: maxKnownShards}
}

// UpToDate reports whether an Update with these arguments would change nothing.
func (s *ShardVersions) UpToDate(ref core.ShardRef, serves []core.Version) bool {
	known, ok := s.serves[ref]
	return len(serves) == 0 || !ok && len(s.serves) >= s.limit || slices.Equal(known, serves)
}

// Update records the versions that a shard reports to serve.
func (s *ShardVersions) Update(ref core.ShardRef, serves []core.Version) {
	if s.UpToDate(ref, serves) {
		return
	}
	kept := slices.Clone(serves)
	if len(kept) > maxKnownVersions {
		slices.Sort(kept)
		kept = kept[len(kept)-maxKnownVersions:]
	}
	s.serves[ref] = kept
}

// Retain removes the shards that the configuration no longer lists.
func (s *ShardVersions) Retain(listed func(core.ShardRef) bool) {
	for ref := range s.serves {
		if !listed(ref) {
			delete(s.serves, ref)
		}
	}
}

// Len returns the number of recorded shards.
func (s *ShardVersions) Len() int { return len(s.serves) }

// Preferred returns the version that most shards of the plan are known to serve, the newest in case
// of a tie. If all shards have a version in common, it is the newest of those. It is 0 if nothing
// is known.
func (s *ShardVersions) Preferred(plan *Plan) core.Version {
	var counts []versionCount
	for i := range plan.Needs {
		for _, version := range s.serves[plan.Needs[i].Ref] {
			counts = addVersion(counts, version)
		}
	}
	return mostCommon(counts, 0)
}
