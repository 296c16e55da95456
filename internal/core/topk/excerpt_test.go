package topk

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an answer that lacks a record of a part that it claims to contain, which a caller
// cannot detect. Excerpts of several nodes and single parts are merged, in any split, with records
// that are equal or concentrated in few parts.
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
		var senderParts [][][]byte
		for range rapid.IntRange(0, 3).Draw(t, "senders") {
			builder := NewExcerptBuilder(limit, total)
			var excerpts []Excerpt
			var all [][]byte
			for range rapid.IntRange(1, 4).Draw(t, "excerpts") {
				parts := rapid.SliceOfN(part, 1, 5).Draw(t, "batch")
				excerpts = append(excerpts, builder.Build(parts))
				all = append(all, parts...)
			}
			senders, senderParts = append(senders, excerpts), append(senderParts, all)
		}
		body, used := Merge(limit, single, senders)
		expectedParts := single
		for i, parts := range senderParts {
			if used[i] {
				expectedParts = append(expectedParts, parts...)
			}
		}
		require.Equal(t, string(sortAll(expectedParts, limit)), string(body))
	})
}

// Guards against excerpts that are too large or too often insufficient: with random records, the
// excerpt of one part of twenty holds 13 of its records instead of 50, and is nearly always
// sufficient.
func TestExcerptOfRandomRecordsIsSmallAndSufficient(t *testing.T) {
	const limit, total, rounds = 50, 20, 300
	lacking := 0
	for round := range rounds {
		parts := randomPartsOf(uint64(round), total)
		excerpt := NewExcerptBuilder(limit, total).Build(parts[:1])
		require.True(t, excerpt.Truncated)
		require.Len(t, excerpt.Records, 13*RecordBytes)
		if _, used := Merge(limit, parts[1:], [][]Excerpt{{excerpt}}); !used[0] {
			lacking++
		}
	}
	require.LessOrEqual(t, lacking, 1)
}

// Guards against using an insufficient excerpt: one shard holds most of the greatest records, as
// the largest customer's does, so its excerpt may lack a record of the answer.
func TestExcerptThatMayLackRecordIsNotUsed(t *testing.T) {
	high := make([]byte, 40*RecordBytes)
	for i := range high {
		high[i] = 0xff
	}
	excerpt := NewExcerptBuilder(20, 10).Build([][]byte{high})
	require.True(t, excerpt.Truncated)
	low := make([]byte, 100*RecordBytes)
	body, used := Merge(20, [][]byte{low}, [][]Excerpt{{excerpt}})
	require.False(t, used[0])
	require.Equal(t, string(low[:20*RecordBytes]), string(body))
	whole := NewExcerptBuilder(20, 0).Build([][]byte{high})
	require.False(t, whole.Truncated)
	_, used = Merge(20, [][]byte{low}, [][]Excerpt{{whole}})
	require.True(t, used[0])
}

// Guards against sending records that earlier excerpts of the same sender already outrank.
func TestLaterExcerptOmitsOutrankedRecords(t *testing.T) {
	parts := randomPartsOf(1, 20)
	builder := NewExcerptBuilder(50, 0)
	require.Len(t, builder.Build(parts[:18]).Records, 50*RecordBytes)
	later := builder.Build(parts[18:])
	require.False(t, later.Truncated)
	require.Less(t, len(later.Records), 20*RecordBytes)
}
