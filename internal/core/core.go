// Package core defines the basic types shared by the decision packages below it.
//
// Nothing under internal/core reads a clock, starts a goroutine, or uses a channel, a network, a
// file or the global random source. Each decision is a state machine that maps a time and an event
// to actions, so that a failure can be replayed.
package core

import (
	"strconv"
	"time"
)

// Time is the time since the node's start on its own monotonic clock. Times of two nodes are never
// compared.
type Time = time.Duration

// NodeID is the name of a node in the VM list.
type NodeID string

// Customer is the name of the customer on whose behalf a request is made.
type Customer string

// Version is an index version. Zero means that the version is unknown.
type Version uint64

// BundleID identifies a group of shards that have the same owner and are asked together.
type BundleID uint32

// ShardRef identifies one shard of one service.
type ShardRef struct {
	Service string
	Shard   int
}

// String returns "service/shard".
func (s ShardRef) String() string {
	return s.Service + "/" + strconv.Itoa(s.Shard)
}

// Outcome states whether work ran. The zero value is Unknown, so that an unset field never claims
// that the work did not run.
type Outcome uint8

const (
	// Unknown means the work may or may not have run.
	Unknown Outcome = iota
	// Done means the work ran and its result is available.
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

// Reason is the reason why a shard has no part in an answer or why work was refused. The texts are
// part of the callers' interface.
type Reason string

// The reasons that are visible to callers and operators.
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
	// ReasonStraggler marks a shard that an early answer did not wait for.
	ReasonStraggler Reason = "straggler"
	// ReasonLayout marks a shard whose service was repartitioned in the meantime.
	ReasonLayout Reason = "layout_changed"
	// ReasonSetAside marks a shard that was not asked because its replicas may crash when they run
	// the query.
	ReasonSetAside Reason = "set_aside"
	// ReasonCutReply marks a shard whose reply ended before it contained the shard's part.
	ReasonCutReply Reason = "cut_reply"
)
