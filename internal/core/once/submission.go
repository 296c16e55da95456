package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"

	"github.com/cespare/xxhash/v2"
)

// Successor is the node that holds the outcomes of a home that has left: the
// first by rendezvous hashing of the home's name over the other nodes. The home
// and the entries find it alike from their views; where views differ an entry
// asks a node that holds nothing and the outcome is unknown, never a second run.
func Successor(view *route.View, home core.NodeID) (route.Node, bool) {
	var best route.Node
	var bestWeight uint64
	found := false
	for _, node := range view.Nodes() {
		if node.ID == home {
			continue
		}
		weight := xxhash.Sum64String(string(node.ID) + "#home#" + string(home))
		if !found || weight > bestWeight {
			best, bestWeight, found = node, weight, true
		}
	}
	return best, found
}

// Holder is a node that an entry asks for the outcome of a key.
type Holder uint8

// The holders of an outcome.
const (
	// HolderNone means that nobody is left to be asked.
	HolderNone Holder = iota
	// HolderHome is the node that the key names.
	HolderHome
	// HolderSuccessor is the Successor of a home that has left.
	HolderSuccessor
)

// HolderResult is how the ask of one holder ended.
type HolderResult struct {
	// Reply is nil when the holder gave none.
	Reply *Reply
	// Outcome is NotRun when this ask is proven not to have reached the holder or
	// to have been refused there unread.
	Outcome core.Outcome
}

const (
	// maxHomeAsks bounds the asks of one home, the first one included.
	maxHomeAsks = 3
	// askAgainAfter is the pause between two asks of one home.
	askAgainAfter = 20 * time.Millisecond
)

// Submission is an entry's asks on behalf of one key: the home, again when the
// link to it breaks (safe: the home joins equal keys), then the home's successor,
// which only looks up and never runs.
//
// What it concludes must hold for the key, not for this try alone: an earlier
// try through another entry may have run. So an unreached home is "unknown", with
// Reply.ThisTry telling a caller that made no other try that nothing ran.
type Submission struct {
	homeAsks int
	// reached is set when an ask may have arrived at a home that may run it.
	reached bool
	asked   Holder
}

// FirstHolder returns whom to ask first.
func (s *Submission) FirstHolder(homeListed bool) Holder {
	if !homeListed {
		return s.ask(HolderSuccessor)
	}
	s.homeAsks = 1
	return s.ask(HolderHome)
}

func (s *Submission) ask(holder Holder) Holder {
	s.asked = holder
	return holder
}

// NextHolder takes the end of an ask. It returns whom to ask next with a pause before
// it, or HolderNone with the reply for the caller.
func (s *Submission) NextHolder(answered HolderResult) (Holder, time.Duration, Reply) {
	if s.asked == HolderSuccessor {
		return HolderNone, 0, s.conclude(answered)
	}
	if told(answered) {
		return HolderNone, 0, *answered.Reply
	}
	if answered.Reply != nil {
		return s.ask(HolderSuccessor), 0, Reply{}
	}
	s.reached = s.reached || answered.Outcome != core.NotRun
	if s.homeAsks < maxHomeAsks {
		s.homeAsks++
		return s.ask(HolderHome), askAgainAfter, Reply{}
	}
	return s.ask(HolderSuccessor), 0, Reply{}
}

// told reports whether the holder knows what became of the key.
func told(answered HolderResult) bool {
	return answered.Reply != nil && answered.Reply.Code != fault.CodeHomeGone
}

// conclude words what holds after the successor was asked.
func (s *Submission) conclude(answered HolderResult) Reply {
	if told(answered) {
		return *answered.Reply
	}
	reply := Reply{Outcome: core.Unknown, Code: fault.CodeHomeGone, Message: "the home of this key cannot be asked: an earlier try with the key may have run"}
	if !s.reached {
		reply.ThisAttempt = core.NotRun
	}
	return reply
}

// TimeoutReply is the reply when the caller's time ends during an ask.
func (s *Submission) TimeoutReply() Reply {
	return Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "no outcome in time: the request may be running; ask again with the same key", RetryAfter: askAgainAfter}
}
