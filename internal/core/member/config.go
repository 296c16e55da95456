package member

import (
	"cmp"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Config holds the identity and the timing parameters of a Machine. Fill sets the defaults.
type Config struct {
	Self        route.Node
	Incarnation uint64
	// Neighbours is the number of heartbeat rings, each with one neighbour. Each neighbour gets one
	// heartbeat per HeartbeatPeriod.
	Neighbours int
	// CrossDataCentreRings is the number of rings that span all data centres. The other rings each
	// stay within one data centre, which keeps most heartbeats and updates local.
	CrossDataCentreRings int
	HeartbeatPeriod      time.Duration
	// ReplyTimeout is the time after which a heartbeat counts as unanswered.
	ReplyTimeout time.Duration
	// CheckInterval is the time between two rounds of probes of an unresponsive node. After
	// CheckRounds failed rounds this node becomes a witness that the node is unreachable.
	CheckInterval time.Duration
	CheckRounds   int
	// IndirectProbes is the number of other nodes asked to probe the target in each round.
	IndirectProbes int
	// MaxUpdates and MaxDrains bound the lists in one heartbeat.
	MaxUpdates int
	// MaxRepairs bounds the states that a heartbeat repeats while views differ. Views differ often
	// during a rolling restart, and each state carries addresses, so that long lists would dominate
	// the traffic.
	MaxRepairs int
	MaxDrains  int
	// PauseLimit is the delay of a tick from which this node treats its view as expired.
	PauseLimit time.Duration
	// ConfirmTimeout bounds the confirmation after a pause. A node that reaches no other node then
	// resumes with its current state.
	ConfirmTimeout time.Duration
	// AnnounceStart makes this node announce that it is starting until it can serve. It waits JoinTimeout at most for the
	// drain marks of another node.
	AnnounceStart bool
	JoinTimeout   time.Duration
	// SplitViewDelay is how long differing views are seen before a problem is raised.
	SplitViewDelay time.Duration
	// DrainTTL is how long a drain mark holds without being renewed.
	DrainTTL time.Duration
	// DeadRetention is how long a dead node that is not in the VM list is remembered.
	DeadRetention time.Duration
}

// Fill sets the default of every field that is zero.
func (c *Config) Fill() {
	c.Neighbours = cmp.Or(c.Neighbours, 4)
	c.CrossDataCentreRings = cmp.Or(c.CrossDataCentreRings, 1)
	c.HeartbeatPeriod = cmp.Or(c.HeartbeatPeriod, time.Second)
	c.ReplyTimeout = cmp.Or(c.ReplyTimeout, 500*time.Millisecond)
	c.CheckInterval = cmp.Or(c.CheckInterval, 500*time.Millisecond)
	c.CheckRounds = cmp.Or(c.CheckRounds, 4)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, 3)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, 256)
	c.MaxRepairs = cmp.Or(c.MaxRepairs, 3)
	c.MaxDrains = cmp.Or(c.MaxDrains, 16)
	c.PauseLimit = cmp.Or(c.PauseLimit, time.Second)
	c.ConfirmTimeout = cmp.Or(c.ConfirmTimeout, 2*time.Second)
	c.JoinTimeout = cmp.Or(c.JoinTimeout, 2*time.Second)
	c.SplitViewDelay = cmp.Or(c.SplitViewDelay, 10*time.Second)
	c.DrainTTL = cmp.Or(c.DrainTTL, 5*time.Minute)
	c.DeadRetention = cmp.Or(c.DeadRetention, 2*time.Minute)
}

// TickInterval is the interval at which a Machine expects a Tick.
const TickInterval = 100 * time.Millisecond
