package topk

import (
	"bytes"
	"math"
)

// A node that gathers parts for another node sends an excerpt of them: not all records that the
// answer could hold, but as many as it will almost surely hold. The records of an answer are spread
// over its parts: of the greatest fifty of twenty parts, rarely more than thirteen come from one
// part. Excerpts halve the size of replies with parts between data centres.
//
// To stay exact, an excerpt states whether it leaves out records that the answer might need. The
// merge uses it only if the merged answer proves that none of those records belongs in it.

// maxStdDevs is the number of standard deviations above the mean that is allowed for a part's
// number of records in the answer. extraRecords is added for small numbers of records. With
// random records, fewer than one excerpt in ten thousand lacks a record.
const (
	maxStdDevs   = 4
	extraRecords = 4
)

// Excerpt holds the greatest records of some parts.
type Excerpt struct {
	// Records are sorted, greatest first.
	Records []byte
	// Truncated is set if records were left out that are no greater than the last one in Records
	// and that the answer might hold.
	Truncated bool
}

// smallest returns the last record, or nil if there is none.
func (e Excerpt) smallest() []byte {
	if len(e.Records) < RecordBytes {
		return nil
	}
	return e.Records[len(e.Records)-RecordBytes:]
}

// ExcerptBuilder builds the successive excerpts for one merge. limit is the number of records of
// the answer. parts is the number of its parts; 0 means that no record is left out merely because
// it is unlikely to be needed.
type ExcerptBuilder struct {
	limit, parts int
	sent         *Merger
}

// NewExcerptBuilder returns an ExcerptBuilder that has built no excerpt yet.
func NewExcerptBuilder(limit, parts int) *ExcerptBuilder {
	return &ExcerptBuilder{limit: limit, parts: parts, sent: New(limit)}
}

// Build returns an excerpt of parts that no earlier excerpt contains. Records that are no greater
// than limit records of the earlier excerpts are left out without setting Truncated, because all
// excerpts of a builder are merged together.
func (b *ExcerptBuilder) Build(parts [][]byte) Excerpt {
	merger := New(b.limit)
	for _, part := range parts {
		merger.Add(part)
	}
	records := merger.Bytes()
	if threshold := b.sent.threshold(); threshold != nil {
		for len(records) > 0 && bytes.Compare(records[len(records)-RecordBytes:], threshold) <= 0 {
			records = records[:len(records)-RecordBytes]
		}
	}
	excerpt := Excerpt{Records: records}
	if maxBytes := b.maxLikelyRecords(len(parts)) * RecordBytes; len(records) > maxBytes {
		excerpt = Excerpt{Records: records[:maxBytes], Truncated: true}
	}
	b.sent.Add(excerpt.Records)
	return excerpt
}

// Top returns the greatest records of one part that is sent separately, greatest first.
func (b *ExcerptBuilder) Top(part []byte) []byte {
	merger := New(b.limit)
	merger.Add(part)
	return merger.Bytes()
}

// maxLikelyRecords returns the number of records that the answer will almost surely not exceed for
// the given number of parts.
func (b *ExcerptBuilder) maxLikelyRecords(parts int) int {
	if b.parts <= 0 {
		return b.limit
	}
	mean := float64(b.limit) * float64(parts) / float64(b.parts)
	return min(int(math.Ceil(mean+maxStdDevs*math.Sqrt(mean)))+extraRecords, b.limit)
}

// threshold returns the smallest record kept once the limit is reached, and nil before.
func (m *Merger) threshold() []byte {
	if m.limit == 0 || len(m.kept) < m.limit {
		return nil
	}
	return m.kept[0]
}

// Merge merges whole parts with the excerpts of several senders, and returns which senders'
// excerpts were used. All excerpts of one sender are used together or not at all.
func Merge(limit int, parts [][]byte, senders [][]Excerpt) (body []byte, used []bool) {
	used = make([]bool, len(senders))
	for i := range used {
		used[i] = true
	}
	for {
		merger := New(limit)
		for _, part := range parts {
			merger.Add(part)
		}
		for i, excerpts := range senders {
			for _, excerpt := range excerpts {
				if used[i] {
					merger.Add(excerpt.Records)
				}
			}
		}
		if !excludeUnproven(merger.threshold(), senders, used) {
			return merger.Bytes(), used
		}
	}
}

// excludeUnproven excludes the senders that may have left out a record above the threshold. It
// reports whether it excluded any, which changes the threshold.
func excludeUnproven(threshold []byte, senders [][]Excerpt, used []bool) bool {
	excluded := false
	for i, excerpts := range senders {
		for _, excerpt := range excerpts {
			if used[i] && excerpt.Truncated && (threshold == nil || bytes.Compare(excerpt.smallest(), threshold) > 0) {
				used[i] = false
				excluded = true
			}
		}
	}
	return excluded
}
