package member

import (
	"cmp"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Config is a machine's identity and its times. Fill gives the defaults.
type Config struct {
	Self        route.Node
	Incarnation uint64
	// Neighbours is the number of rings; each neighbour gets one heartbeat a
	// Period.
	Neighbours int
	// CrossDataCentreRings is the number of rings that run through all data centres. The others run
	// within one, so that most heartbeats and most news stay there.
	CrossDataCentreRings int
	HeartbeatPeriod      time.Duration
	// ReplyTimeout is the time after which a heartbeat counts as unanswered.
	ReplyTimeout time.Duration
	// CheckInterval is the time between two tries to reach a doubted node, and Rounds
	// the number of failed ones that make this node a witness of its loss.
	CheckInterval time.Duration
	CheckRounds   int
	// IndirectProbes is how many other nodes are asked in each round.
	IndirectProbes int
	// MaxUpdates and MaxDrains bound the lists in one heartbeat.
	MaxUpdates int
	// MaxRepairs bounds the states that a heartbeat repeats while views differ. They differ
	// often while nodes are restarted in turn, and each state has its addresses: long lists would be
	// most of what nodes send then.
	MaxRepairs int
	MaxDrains  int
	// PauseLimit is how late a tick may come before beliefs count as expired.
	PauseLimit time.Duration
	// ConfirmTimeout bounds the confirmation after a pause: a node that reaches
	// nobody serves on with what it has.
	ConfirmTimeout time.Duration
	// SplitViewDelay is how long other views are seen before a problem is raised.
	SplitViewDelay time.Duration
	// DrainTTL is how long a drain mark holds without being seen again.
	DrainTTL time.Duration
	// DeadRetention is how long a dead node that is not listed is remembered.
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
	c.SplitViewDelay = cmp.Or(c.SplitViewDelay, 10*time.Second)
	c.DrainTTL = cmp.Or(c.DrainTTL, 5*time.Minute)
	c.DeadRetention = cmp.Or(c.DeadRetention, 2*time.Minute)
}

// TickInterval is how often a machine wants a Tick.
const TickInterval = 100 * time.Millisecond
