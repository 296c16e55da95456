package topk

import (
	"bytes"
	"math"
)

// A node that gathers parts for another one sends an excerpt of them: not all the records that
// the answer could hold, but as many as it will almost surely hold. The records of an answer are
// spread over its parts; the greatest fifty of twenty parts are rarely more than thirteen of one.
// It halves what replies with parts take between data centres.
//
// The guard: an excerpt says whether it left records out that the answer might need, and the
// merge uses it only if the answer as it stands proves that none of those belongs into it.

// spreadSlack is how many standard deviations above its mean a part's number of records in the
// answer is allowed for, and spareRecords what is added for small numbers: with random records
// less than one excerpt in ten thousand lacks one.
const (
	spreadSlack  = 4
	spareRecords = 4
)

// Excerpt is the greatest records of some parts.
type Excerpt struct {
	// Records are the greatest first.
	Records []byte
	// Truncated is set when records were left out that are no greater than the last one sent, and
	// that the answer might hold.
	Truncated bool
}

// least is the last record; nil when there is none.
func (e Excerpt) least() []byte {
	if len(e.Records) < RecordBytes {
		return nil
	}
	return e.Records[len(e.Records)-RecordBytes:]
}

// ExcerptBuilder makes the excerpts that go to one merge, one after the other. It is told the records
// of the answer and the number of its parts, 0 to leave nothing out for being unlikely.
type ExcerptBuilder struct {
	limit, parts int
	sent         *Merger
}

// NewExcerptBuilder makes an ExcerptBuilder of which nothing was sent.
func NewExcerptBuilder(limit, parts int) *ExcerptBuilder {
	return &ExcerptBuilder{limit: limit, parts: parts, sent: New(limit)}
}

// Build takes parts that no earlier excerpt had. Records that the earlier ones already outdo
// are left out for certain: those are always merged together with this one.
func (s *ExcerptBuilder) Build(parts [][]byte) Excerpt {
	merger := New(s.limit)
	for _, part := range parts {
		merger.Add(part)
	}
	records := merger.Bytes()
	if floor := s.sent.floor(); floor != nil {
		for len(records) > 0 && bytes.Compare(records[len(records)-RecordBytes:], floor) <= 0 {
			records = records[:len(records)-RecordBytes]
		}
	}
	made := Excerpt{Records: records}
	if most := s.likely(len(parts)) * RecordBytes; len(records) > most {
		made = Excerpt{Records: records[:most], Truncated: true}
	}
	s.sent.Add(made.Records)
	return made
}

// Top returns the greatest records of one part that goes by itself, falling.
func (s *ExcerptBuilder) Top(part []byte) []byte {
	merger := New(s.limit)
	merger.Add(part)
	return merger.Bytes()
}

// likely is how many records of so many parts the answer will hold at most.
func (s *ExcerptBuilder) likely(parts int) int {
	if s.parts <= 0 {
		return s.limit
	}
	mean := float64(s.limit) * float64(parts) / float64(s.parts)
	return min(int(math.Ceil(mean+spreadSlack*math.Sqrt(mean)))+spareRecords, s.limit)
}

// floor is the least of the records kept once there are as many as the limit; nil before.
func (m *Merger) floor() []byte {
	if m.limit == 0 || len(m.kept) < m.limit {
		return nil
	}
	return m.kept[0]
}

// Merge merges whole parts with the excerpts of several senders, and tells which senders'
// excerpts could be used: those of one count together or not at all.
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
			for _, one := range excerpts {
				if used[i] {
					merger.Add(one.Records)
				}
			}
		}
		if !dropUnproved(merger.floor(), senders, used) {
			return merger.Bytes(), used
		}
	}
}

// dropUnproved leaves out the senders that may have left out a record above the floor. It reports
// whether there was one: the floor is then another.
func dropUnproved(floor []byte, senders [][]Excerpt, used []bool) bool {
	dropped := false
	for i, excerpts := range senders {
		for _, one := range excerpts {
			if used[i] && one.Truncated && (floor == nil || bytes.Compare(one.least(), floor) > 0) {
				used[i] = false
				dropped = true
			}
		}
	}
	return dropped
}
