// Package topk selects the greatest fixed-size records of the parts of an answer.
package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of one record. A shorter rest at the end of a part is ignored.
const RecordBytes = 16

// Merger keeps the greatest records seen so far in a min-heap of limited size. Adding n records
// takes n comparisons with the smallest record kept and few moves, where sorting all of them would
// take n log n. Equal records are all kept. A Merger keeps references to the parts it is given.
type Merger struct {
	limit int
	kept  records
}

// New returns a Merger for at most limit records.
func New(limit int) *Merger { return &Merger{limit: limit} }

// Add adds the records of one part, in any order.
func (m *Merger) Add(part []byte) {
	for len(part) >= RecordBytes {
		m.add(part[:RecordBytes:RecordBytes])
		part = part[RecordBytes:]
	}
}

func (m *Merger) add(record []byte) {
	switch {
	case len(m.kept) < m.limit:
		heap.Push(&m.kept, record)
	case m.limit > 0 && bytes.Compare(record, m.kept[0]) > 0:
		m.kept[0] = record
		heap.Fix(&m.kept, 0)
	}
}

// Bytes returns the records kept, greatest first.
func (m *Merger) Bytes() []byte {
	sorted := slices.Clone(m.kept)
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(sorted...)
}

// records is a min-heap.
type records [][]byte

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *records) Push(record any) { *r = append(*r, record.([]byte)) }

// Pop implements heap.Interface.
func (r *records) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
