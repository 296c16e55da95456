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
	// maxDescriptionBytes limits the length of a description from another node.
	maxDescriptionBytes = 256
	// maxIncarnations limits the incarnations and the variants in one record from another node.
	maxIncarnations = 256
)

func encode(record *quarantine.Record, now core.Time) *peerpb.QuarantineRecord {
	out := &peerpb.QuarantineRecord{Key: record.Key[:], Head: record.Head[:], What: record.Description, Level: uint32(record.Level), AgeMs: uint64(max(now-record.SeenAt, 0).Milliseconds())}
	out.Variants = slices.Sorted(maps.Keys(record.Variants))
	for _, incarnation := range slices.Sorted(maps.Keys(record.Facts)) {
		out.Lives = append(out.Lives, uint64(incarnation))
		out.Marks = append(out.Marks, byte(record.Facts[incarnation]))
		out.Shards = append(out.Shards, uint64(record.Shards[incarnation]))
	}
	return out
}

// decode decodes a record. It returns false if the record has no valid key or its lists differ in length.
func decode(in *peerpb.QuarantineRecord, now core.Time) (quarantine.Record, bool) {
	key, keyValid := quarantine.KeyFromBytes(in.GetKey())
	head, headValid := quarantine.KeyFromBytes(in.GetHead())
	incarnations, marks := in.GetLives(), in.GetMarks()
	shards := in.GetShards()
	if !keyValid || !headValid || len(incarnations) != len(marks) || len(incarnations) > maxIncarnations || len(shards) > 0 && len(shards) != len(incarnations) {
		return quarantine.Record{}, false
	}
	description := in.GetWhat()
	record := quarantine.Record{
		Key: key, Head: head, Description: description[:min(len(description), maxDescriptionBytes)], Level: uint8(in.GetLevel()), Facts: map[quarantine.Incarnation]quarantine.Fact{}, Shards: map[quarantine.Incarnation]quarantine.Shard{}, Variants: map[uint64]struct{}{},
		SeenAt: now - time.Duration(in.GetAgeMs())*time.Millisecond,
	}
	variants := in.GetVariants()
	for _, variant := range variants[:min(len(variants), maxIncarnations)] {
		record.Variants[variant] = struct{}{}
	}
	for i, incarnation := range incarnations {
		record.Facts[quarantine.Incarnation(incarnation)] = quarantine.Fact(marks[i])
	}
	for i, shard := range shards {
		record.Shards[quarantine.Incarnation(incarnations[i])] = quarantine.Shard(shard)
	}
	return record, true
}
