package config

import (
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Edit replaces the lines [From, From+Removed) of a text. Edits apply in order, each to the result
// of the previous one.
type Edit struct {
	From    int
	Removed int
	Lines   []string
}

// maxEdits bounds the edits of one difference, so that applying them to a text of a megabyte takes
// milliseconds. A larger difference becomes one edit.
const maxEdits = 256

// SplitLines splits a text into lines that keep their line ends.
func SplitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}

// Diff returns edits that turn the lines before into the lines after, in descending order of
// position.
func Diff(before, after []string) []Edit {
	head := commonPrefix(before, after)
	before, after = before[head:], after[head:]
	tail := commonSuffix(before, after)
	before, after = before[:len(before)-tail], after[:len(after)-tail]
	if len(before) == 0 && len(after) == 0 {
		return nil
	}
	edits, ok := shortestEdits(before, after)
	if !ok {
		edits = []Edit{{Removed: len(before), Lines: after}}
	}
	for i := range edits {
		edits[i].From += head
	}
	return edits
}

// Apply applies edits. It refuses edits that do not fit the text or make it larger than the limit.
func Apply(lines []string, edits []Edit) ([]string, error) {
	size := 0
	for _, line := range lines {
		size += len(line)
	}
	lines = append([]string(nil), lines...)
	for _, edit := range edits {
		if edit.From < 0 || edit.Removed < 0 || edit.From > len(lines) || edit.Removed > len(lines)-edit.From {
			return nil, editError("edit is out of the range of the text")
		}
		for _, line := range edit.Lines {
			size += len(line)
		}
		for _, line := range lines[edit.From : edit.From+edit.Removed] {
			size -= len(line)
		}
		if size > catalog.MaxTextBytes {
			return nil, editError("edits make the text exceed the size limit")
		}
		lines = splice(lines, edit)
	}
	return lines, nil
}

func splice(lines []string, edit Edit) []string {
	growth := len(edit.Lines) - edit.Removed
	if growth > 0 {
		lines = append(lines, make([]string, growth)...)
	}
	copy(lines[edit.From+len(edit.Lines):], lines[edit.From+edit.Removed:])
	copy(lines[edit.From:], edit.Lines)
	if growth < 0 {
		lines = lines[:len(lines)+growth]
	}
	return lines
}

func editError(message string) error {
	return &fault.Error{Code: fault.CodePeer, Outcome: core.NotRun, Message: message, Fix: "the full text is fetched instead"}
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// shortestEdits finds the minimal edits by Myers' greedy algorithm. It returns false when more than
// maxEdits lines differ.
func shortestEdits(before, after []string) ([]Edit, bool) {
	// reach[d] holds, for each diagonal k = old - new of step d, the furthest old line reached with
	// d differences; the index is k+d.
	var reach [][]int
	for d := 0; d <= maxEdits; d++ {
		row := make([]int, 2*d+1)
		for k := -d; k <= d; k += 2 {
			x := enterDiagonal(reach, d, k)
			for x < len(before) && x-k < len(after) && before[x] == after[x-k] {
				x++
			}
			row[k+d] = x
			if x >= len(before) && x-k >= len(after) {
				return backtrack(reach, d, k, after), true
			}
		}
		reach = append(reach, row)
	}
	return nil, false
}

// enterDiagonal returns the old line at which the path with d differences enters diagonal k.
func enterDiagonal(reach [][]int, d, k int) int {
	if d == 0 {
		return 0
	}
	if lastIsInsert(reach, d, k) {
		return furthest(reach, d-1, k+1)
	}
	return furthest(reach, d-1, k-1) + 1
}

// lastIsInsert reports whether the last difference on the way to diagonal k adds a line rather than
// removes one.
func lastIsInsert(reach [][]int, d, k int) bool {
	return k == -d || k != d && furthest(reach, d-1, k-1) < furthest(reach, d-1, k+1)
}

func furthest(reach [][]int, d, k int) int { return reach[d][k+d] }

// backtrack collects the differences from the end to the start; applied in this order, no edit
// shifts the position of a later one.
func backtrack(reach [][]int, d, k int, after []string) []Edit {
	var edits []Edit
	for ; d > 0; d-- {
		if lastIsInsert(reach, d, k) {
			k++
			x := furthest(reach, d-1, k)
			edits = prependEdit(edits, x, 0, after[x-k])
			continue
		}
		k--
		edits = prependEdit(edits, furthest(reach, d-1, k), 1, "")
	}
	return edits
}

// prependEdit merges a difference into the latest edit when the two are adjacent, and appends it
// otherwise.
func prependEdit(edits []Edit, from, removed int, line string) []Edit {
	var lines []string
	if removed == 0 {
		lines = []string{line}
	}
	if len(edits) > 0 {
		last := &edits[len(edits)-1]
		if from+removed == last.From {
			last.From = from
			last.Removed += removed
			last.Lines = append(lines, last.Lines...)
			return edits
		}
	}
	return append(edits, Edit{From: from, Removed: removed, Lines: lines})
}
