package topk

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Excerpts of several nodes and single parts are merged, in any split, with records that are equal or
// lie in few parts. The answer must be the greatest records of exactly those parts that it says
// it holds: a caller cannot see that a record is missing.
func TestAMergeOfExcerptsIsExactForThePartsItNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		total := rapid.IntRange(1, 30).Draw(t, "parts")
		part := rapid.Custom(func(t *rapid.T) []byte {
			count := rapid.IntRange(0, 25).Draw(t, "records")
			skew := rapid.ByteRange(0, 3).Draw(t, "skew")
			var records []byte
			for range count {
				record := make([]byte, RecordBytes)
				record[0], record[1] = skew, rapid.Byte().Draw(t, "value")
				records = append(records, record...)
			}
			return records
		})
		single := rapid.SliceOfN(part, 0, 5).Draw(t, "single")
		var senders [][]Excerpt
		var theirs [][][]byte
		for range rapid.IntRange(0, 3).Draw(t, "senders") {
			sender := NewExcerptBuilder(limit, total)
			var excerpts []Excerpt
			var all [][]byte
			for range rapid.IntRange(1, 4).Draw(t, "excerpts") {
				parts := rapid.SliceOfN(part, 1, 5).Draw(t, "batch")
				excerpts = append(excerpts, sender.Build(parts))
				all = append(all, parts...)
			}
			senders, theirs = append(senders, excerpts), append(theirs, all)
		}
		body, used := Merge(limit, single, senders)
		named := single
		for i, parts := range theirs {
			if used[i] {
				named = append(named, parts...)
			}
		}
		require.Equal(t, string(sortAll(named, limit)), string(body))
	})
}

// Random records: the excerpt of one part of twenty holds 13 of its records in place of 50, and is
// nearly always enough.
func TestAnExcerptOfRandomRecordsIsSmallAndEnough(t *testing.T) {
	const limit, total, rounds = 50, 20, 300
	lacking := 0
	for round := range rounds {
		parts := randomPartsOf(uint64(round), total)
		one := NewExcerptBuilder(limit, total).Build(parts[:1])
		require.True(t, one.Truncated)
		require.Len(t, one.Records, 13*RecordBytes)
		if _, used := Merge(limit, parts[1:], [][]Excerpt{{one}}); !used[0] {
			lacking++
		}
	}
	require.LessOrEqual(t, lacking, 1)
}

// One shard holds most of the greatest records, as the largest customer's does. Its excerpt is not enough, and
// the answer must not pretend that it is.
func TestAnExcerptThatMayLackARecordIsNotUsed(t *testing.T) {
	high := make([]byte, 40*RecordBytes)
	for i := range high {
		high[i] = 0xff
	}
	one := NewExcerptBuilder(20, 10).Build([][]byte{high})
	require.True(t, one.Truncated)
	low := make([]byte, 100*RecordBytes)
	body, used := Merge(20, [][]byte{low}, [][]Excerpt{{one}})
	require.False(t, used[0])
	require.Equal(t, string(low[:20*RecordBytes]), string(body))
	whole := NewExcerptBuilder(20, 0).Build([][]byte{high})
	require.False(t, whole.Truncated)
	_, used = Merge(20, [][]byte{low}, [][]Excerpt{{whole}})
	require.True(t, used[0])
}

// Later excerpts of one sender leave out what the earlier ones outdo.
func TestALaterExcerptHoldsOnlyWhatIsNews(t *testing.T) {
	parts := randomPartsOf(1, 20)
	sender := NewExcerptBuilder(50, 0)
	require.Len(t, sender.Build(parts[:18]).Records, 50*RecordBytes)
	later := sender.Build(parts[18:])
	require.False(t, later.Truncated)
	require.Less(t, len(later.Records), 20*RecordBytes)
}
