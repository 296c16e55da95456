package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	// maxWhat bounds the description that is taken from another node, in bytes.
	maxWhat = 256
	// maxLives bounds the incarnations in one record, whoever sends it.
	maxLives = 256
)

func encode(record *quarantine.Record, now core.Time) *peerpb.QuarantineRecord {
	out := &peerpb.QuarantineRecord{Key: record.Key[:], Head: record.Head[:], What: record.Description, Level: uint32(record.Level), AgeMs: uint64(max(now-record.SeenAt, 0).Milliseconds())}
	out.Variants = slices.Sorted(maps.Keys(record.Variants))
	for _, life := range slices.Sorted(maps.Keys(record.Facts)) {
		out.Lives = append(out.Lives, uint64(life))
		out.Marks = append(out.Marks, byte(record.Facts[life]))
		out.Shards = append(out.Shards, uint64(record.Shards[life]))
	}
	return out
}

// decode reads a record; false when it names no request or its lists do not fit together.
func decode(in *peerpb.QuarantineRecord, now core.Time) (quarantine.Record, bool) {
	key, named := quarantine.KeyFromBytes(in.GetKey())
	head, headed := quarantine.KeyFromBytes(in.GetHead())
	lives, marks := in.GetLives(), in.GetMarks()
	shards := in.GetShards()
	if !named || !headed || len(lives) != len(marks) || len(lives) > maxLives || len(shards) > 0 && len(shards) != len(lives) {
		return quarantine.Record{}, false
	}
	what := in.GetWhat()
	record := quarantine.Record{
		Key: key, Head: head, Description: what[:min(len(what), maxWhat)], Level: uint8(in.GetLevel()), Facts: map[quarantine.Incarnation]quarantine.Fact{}, Shards: map[quarantine.Incarnation]quarantine.Shard{}, Variants: map[uint64]struct{}{},
		SeenAt: now - time.Duration(in.GetAgeMs())*time.Millisecond,
	}
	variants := in.GetVariants()
	for _, one := range variants[:min(len(variants), maxLives)] {
		record.Variants[one] = struct{}{}
	}
	for i, life := range lives {
		record.Facts[quarantine.Incarnation(life)] = quarantine.Fact(marks[i])
	}
	for i, shard := range shards {
		record.Shards[quarantine.Incarnation(lives[i])] = quarantine.Shard(shard)
	}
	return record, true
}
