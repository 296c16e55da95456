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

// Stop is one place that an entry asks on behalf of a key.
type Stop uint8

// The stops of a trip.
const (
	StopNone Stop = iota
	StopHome
	StopSuccessor
)

// Answered is how one stop of a trip ended.
type Answered struct {
	// Reply is nil when the stop gave none.
	Reply *Reply
	// Outcome is NotRun when this ask is proven not to have reached the stop or
	// to have been refused there unread.
	Outcome core.Outcome
}

const (
	maxHomeAsks = 3
	tripPause   = 20 * time.Millisecond
)

// Trip is an entry's way to the outcome of one key: the home, again when the
// link to it breaks (safe: the home joins equal keys), then the home's successor,
// which only looks up and never runs.
//
// What it concludes must hold for the key, not for this try alone: an earlier
// try through another entry may have run. So an unreached home is "unknown", with
// Reply.ThisTry telling a caller that made no other try that nothing ran.
type Trip struct {
	homeAsks int
	// reached is set when an ask may have arrived at a home that may run it.
	reached bool
	at      Stop
	gone    *Reply
}

// First returns the first stop.
func (t *Trip) First(homeListed bool) Stop {
	if homeListed {
		t.homeAsks = 1
		t.at = StopHome
		return t.at
	}
	t.at = StopSuccessor
	return t.at
}

// Next takes the end of a stop. It returns the next stop with a pause before it,
// or StopNone with the reply for the caller.
func (t *Trip) Next(answered Answered) (Stop, time.Duration, Reply) {
	if t.at == StopSuccessor {
		return StopNone, 0, t.end(answered)
	}
	if answered.Reply != nil {
		if answered.Reply.Code != fault.CodeHomeGone {
			return StopNone, 0, *answered.Reply
		}
		t.gone = answered.Reply
		t.at = StopSuccessor
		return t.at, 0, Reply{}
	}
	t.reached = t.reached || answered.Outcome != core.NotRun
	if t.homeAsks < maxHomeAsks {
		t.homeAsks++
		return StopHome, tripPause, Reply{}
	}
	t.at = StopSuccessor
	return t.at, 0, Reply{}
}

// end concludes after the successor.
func (t *Trip) end(answered Answered) Reply {
	if answered.Reply != nil && answered.Reply.Code != fault.CodeHomeGone {
		return *answered.Reply
	}
	reply := Reply{Outcome: core.Unknown, Code: fault.CodeHomeGone, Message: "the home of this key cannot be asked: an earlier try with the key may have run"}
	if !t.reached {
		reply.ThisTry = core.NotRun
	}
	return reply
}

// Lost is the reply when the caller's time ends before the trip does.
func (t *Trip) Lost() Reply {
	return Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "no outcome in time: the request may be running; ask again with the same key", RetryAfter: tripPause}
}
