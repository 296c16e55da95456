package topk

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sortAll is the reference implementation that the heap must agree with.
func sortAll(parts [][]byte, limit int) []byte {
	var all [][]byte
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			all = append(all, part[:RecordBytes])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(all[:min(limit, len(all))]...)
}

func TestTheHeapAgreesWithASortOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 30).Draw(t, "limit")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 0, 8).Draw(t, "parts")
		merger := New(limit)
		for _, part := range parts {
			merger.Add(part)
		}
		require.Equal(t, string(sortAll(parts, limit)), string(merger.Bytes()))
	})
}

func randomParts() [][]byte {
	const parts, bytes = 110, 400
	return drawParts(rand.New(rand.NewPCG(1, 2)), parts, bytes)
}

// randomPartsOf returns parts of 62 records.
func randomPartsOf(seed uint64, count int) [][]byte {
	const bytes = 1000
	return drawParts(rand.New(rand.NewPCG(seed, 2)), count, bytes)
}

func drawParts(source *rand.Rand, count, bytes int) [][]byte {
	parts := make([][]byte, count)
	for i := range parts {
		parts[i] = make([]byte, bytes)
		for j := range parts[i] {
			parts[i][j] = byte(source.Uint32())
		}
	}
	return parts
}

// BenchmarkMerge reports the time of the heap relative to a sort of all records, for 110 parts of
// 25 records.
func BenchmarkMerge(b *testing.B) {
	parts := randomParts()
	var sorting time.Duration
	for b.Loop() {
		b.StopTimer()
		started := time.Now()
		sortAll(parts, 20)
		sorting += time.Since(started)
		b.StartTimer()
		merger := New(20)
		for _, part := range parts {
			merger.Add(part)
		}
		_ = merger.Bytes()
	}
	b.ReportMetric(float64(b.Elapsed())/float64(sorting), "of-a-sort")
}
