package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"

	"github.com/cespare/xxhash/v2"
)

// Successor returns the node that holds the outcomes of a home that has left: the first
// by rendezvous hashing of the home's name over the other nodes. The home and the
// entries compute it independently from their views. Where views differ, an entry may
// ask a node without the outcomes; the outcome is then unknown, and the request is
// never run again.
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

// The kinds of holders.
const (
	// HolderNone means that no holder is left to ask.
	HolderNone Holder = iota
	// HolderHome is the node that the key names.
	HolderHome
	// HolderSuccessor is the Successor of a home that has left.
	HolderSuccessor
)

// HolderResult is the result of one request to a holder.
type HolderResult struct {
	// Reply is nil when the holder did not reply.
	Reply *Reply
	// Outcome is NotRun when the request is proven not to have reached the holder, or
	// to have been refused there without being read.
	Outcome core.Outcome
}

const (
	// maxHomeAttempts limits the requests to one home, including the first.
	maxHomeAttempts = 3
	// homeRetryDelay is the delay between two requests to one home.
	homeRetryDelay = 20 * time.Millisecond
)

// Submission is the sequence of requests that an entry makes for one key: to the home,
// again when the link to it breaks (safe, because the home joins requests with equal
// keys), then to the home's successor, which only looks up outcomes and never runs a
// request.
//
// The resulting outcome must hold for the key, not only for this attempt, because an
// earlier attempt through another entry may have run. So an unreachable home gives
// "unknown"; for a caller that made no other attempt, Reply.ThisAttempt states that
// nothing ran.
type Submission struct {
	homeAttempts int
	// mayHaveReachedHome is set when a request may have reached a home that may run it.
	mayHaveReachedHome bool
	lastHolder         Holder
}

// FirstHolder returns the first holder to ask.
func (s *Submission) FirstHolder(homeListed bool) Holder {
	if !homeListed {
		return s.setHolder(HolderSuccessor)
	}
	s.homeAttempts = 1
	return s.setHolder(HolderHome)
}

func (s *Submission) setHolder(holder Holder) Holder {
	s.lastHolder = holder
	return holder
}

// NextHolder handles the result of a request. It returns the next holder and the delay
// before asking it, or HolderNone with the reply for the caller.
func (s *Submission) NextHolder(result HolderResult) (Holder, time.Duration, Reply) {
	if s.lastHolder == HolderSuccessor {
		return HolderNone, 0, s.successorReply(result)
	}
	if hasOutcome(result) {
		return HolderNone, 0, *result.Reply
	}
	if result.Reply != nil {
		return s.setHolder(HolderSuccessor), 0, Reply{}
	}
	s.mayHaveReachedHome = s.mayHaveReachedHome || result.Outcome != core.NotRun
	if s.homeAttempts < maxHomeAttempts {
		s.homeAttempts++
		return s.setHolder(HolderHome), homeRetryDelay, Reply{}
	}
	return s.setHolder(HolderSuccessor), 0, Reply{}
}

// hasOutcome reports whether the holder replied with an outcome or refusal of the key,
// not with "home gone".
func hasOutcome(result HolderResult) bool {
	return result.Reply != nil && result.Reply.Code != fault.CodeHomeGone
}

// successorReply returns the reply to the caller after the successor was asked.
func (s *Submission) successorReply(result HolderResult) Reply {
	if hasOutcome(result) {
		return *result.Reply
	}
	reply := Reply{Outcome: core.Unknown, Code: fault.CodeHomeGone, Message: "the home node of this key cannot be reached: an earlier attempt with the key may have run"}
	if !s.mayHaveReachedHome {
		reply.ThisAttempt = core.NotRun
	}
	return reply
}

// TimeoutReply is the reply when the caller's deadline passes before a holder has
// replied.
func (s *Submission) TimeoutReply() Reply {
	return Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "no outcome before the deadline: the request may be running; retry with the same key", RetryAfter: homeRetryDelay}
}
