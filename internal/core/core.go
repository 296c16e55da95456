// Package core holds the vocabulary shared by the decision packages below it.
//
// Nothing under internal/core reads a clock, starts a goroutine, uses a
// channel, a network, a file or the global random source: each decision is a
// state machine from (now, event) to actions, so that a failure can be
// replayed.
package core

import (
	"strconv"
	"time"
)

// Time is the time since the node's start on its own monotonic clock. Times of
// two nodes are never compared.
type Time = time.Duration

// NodeID names one node of the tier, as the VM list does.
type NodeID string

// Customer names the customer on whose behalf a request is made.
type Customer string

// Version is an index version. Zero means "not known yet".
type Version uint64

// BundleID identifies a group of shards that are owned and asked together.
type BundleID uint32

// ShardRef names one shard of one service.
type ShardRef struct {
	Service string
	Shard   int
}

// String renders the reference as "service/shard".
func (s ShardRef) String() string {
	return s.Service + "/" + strconv.Itoa(s.Shard)
}

// Outcome is the three-valued result of a piece of work. The zero value is
// Unknown, so that a forgotten field never claims "not run".
type Outcome uint8

const (
	// Unknown means the work may or may not have run.
	Unknown Outcome = iota
	// Done means the work ran and its result is at hand.
	Done
	// NotRun means it is proven that the work did not run.
	NotRun
)

// String returns the name used in the callers' interface.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason says why a shard has no part in an answer or why work was refused.
// The texts are part of the callers' interface.
type Reason string

// The reasons that callers and operators see.
const (
	ReasonNone           Reason = ""
	ReasonDeadline       Reason = "deadline"
	ReasonOverloaded     Reason = "overloaded"
	ReasonNoReplica      Reason = "no_replica"
	ReasonUpstreamFailed Reason = "upstream_failed"
	ReasonVersionGone    Reason = "version_gone"
	ReasonNotOwner       Reason = "not_owner"
	ReasonPeerLost       Reason = "peer_lost"
	ReasonPeerUnreached  Reason = "peer_unreached"
	ReasonDependency     Reason = "dependency_missing"
	ReasonCancelled      Reason = "cancelled"
	ReasonCrossedReply   Reason = "crossed_reply"
	ReasonNotAsked       Reason = "not_asked"
	ReasonDraining       Reason = "draining"
	// ReasonStraggler is a shard that an early answer did not wait for.
	ReasonStraggler Reason = "straggler"
	// ReasonLayout is a shard whose service was repartitioned meanwhile.
	ReasonLayout Reason = "layout_changed"
	// ReasonSetAside is a shard that was not asked because its replicas may end when they run the question.
	ReasonSetAside Reason = "set_aside"
	// ReasonCutReply is a reply that ended before it named the shard.
	ReasonCutReply Reason = "cut_reply"
)
