package confwatch

import (
	"unicode/utf8"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	maxSteps     = 64
	maxStepBytes = 256 << 10
	// editOverhead is the maximum encoded size of an edit without its lines.
	editOverhead = 24
)

// history holds the edits from each recent revision to the next, to answer nodes that
// are a few revisions behind.
type history struct {
	steps []historyStep
	bytes int
	// lastReply is the latest reply, for nodes that have replyBase in force. After a
	// change nearly all nodes need the same one.
	lastReply *peerpb.ConfigReply
	replyBase config.Mark
}

type historyStep struct {
	from  config.Mark
	edits []*peerpb.TextEdit
	bytes int
}

// add records the edits from the previous configuration to the reading that replaces it.
func (h *history) add(previous *belief.Config, reading *config.Reading) {
	h.lastReply = nil
	if previous == nil || !utf8.Valid(reading.Text) || !utf8.Valid(previous.Text) {
		h.steps, h.bytes = nil, 0
		return
	}
	step := historyStep{from: config.Mark{Revision: previous.Revision, Digest: previous.Digest}}
	for _, edit := range config.Diff(config.SplitLines(string(previous.Text)), config.SplitLines(string(reading.Text))) {
		step.edits = append(step.edits, &peerpb.TextEdit{From: uint32(edit.From), Removed: uint32(edit.Removed), Lines: edit.Lines})
		step.bytes += editOverhead
		for _, line := range edit.Lines {
			step.bytes += len(line)
		}
	}
	h.steps = append(h.steps, step)
	h.bytes += step.bytes
	for len(h.steps) > maxSteps || h.bytes > maxStepBytes && len(h.steps) > 0 {
		h.bytes -= h.steps[0].bytes
		h.steps = h.steps[1:]
	}
}

// replyTo returns the reply to a node that has the marked text: the edits to the
// current text, or the whole text when the edits are unknown or larger.
func (h *history) replyTo(have config.Mark, current *belief.Config) *peerpb.ConfigReply {
	if h.lastReply != nil && h.replyBase == have {
		return h.lastReply
	}
	reply := &peerpb.ConfigReply{Revision: current.Revision, Digest: current.Digest}
	edits, known := h.editsFrom(have, len(current.Text))
	if known {
		reply.Edits = edits
	} else {
		reply.Text = current.Text
	}
	h.lastReply, h.replyBase = reply, have
	return reply
}

func (h *history) editsFrom(have config.Mark, limit int) ([]*peerpb.TextEdit, bool) {
	for i, step := range h.steps {
		if step.from != have {
			continue
		}
		var edits []*peerpb.TextEdit
		bytes := 0
		for _, following := range h.steps[i:] {
			edits = append(edits, following.edits...)
			bytes += following.bytes
		}
		return edits, bytes < limit
	}
	return nil, false
}
