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
	// editOverhead is the encoded size of an edit without its lines, at most.
	editOverhead = 24
)

// history keeps how the text came to be what it is, as edits from each revision
// to the next, to answer nodes that are a few revisions behind.
type history struct {
	steps []historyStep
	bytes int
	// reply is the latest reply, to a node that has repliedTo. After a change
	// nearly all nodes ask for the same one.
	reply     *peerpb.ConfigReply
	repliedTo config.Mark
}

type historyStep struct {
	from  config.Mark
	edits []*peerpb.TextEdit
	bytes int
}

// add records that a reading replaces the former configuration.
func (h *history) add(former *belief.Config, reading *config.Reading) {
	h.reply = nil
	if former == nil || !utf8.Valid(reading.Text) || !utf8.Valid(former.Text) {
		h.steps, h.bytes = nil, 0
		return
	}
	step := historyStep{from: config.Mark{Revision: former.Revision, Digest: former.Digest}}
	for _, edit := range config.Diff(config.SplitLines(string(former.Text)), config.SplitLines(string(reading.Text))) {
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

// replyTo makes the reply to a node that has the marked text: the edits that
// lead to the present one, or the whole text when those are not known or larger.
func (h *history) replyTo(have config.Mark, present *belief.Config) *peerpb.ConfigReply {
	if h.reply != nil && h.repliedTo == have {
		return h.reply
	}
	reply := &peerpb.ConfigReply{Revision: present.Revision, Digest: present.Digest}
	edits, known := h.editsFrom(have, len(present.Text))
	if known {
		reply.Edits = edits
	} else {
		reply.Text = present.Text
	}
	h.reply, h.repliedTo = reply, have
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
