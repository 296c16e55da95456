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
	// Crossing is the number of rings that run through all data centres. The others run
	// within one, so that most heartbeats and most news stay there.
	Crossing int
	Period   time.Duration
	// ReplyWait is the time after which a heartbeat counts as unanswered.
	ReplyWait time.Duration
	// Round is the time between two tries to reach a doubted node, and Rounds
	// the number of failed ones that make this node a witness of its loss.
	Round  time.Duration
	Rounds int
	// Helpers is how many other nodes are asked in each round.
	Helpers int
	// MaxUpdates and MaxDrains bound the lists in one heartbeat.
	MaxUpdates int
	// MaxRepairs bounds the states that a heartbeat repeats while views differ. They differ
	// often while nodes are restarted in turn, and each state has its addresses: long lists would be
	// most of what nodes send then.
	MaxRepairs int
	MaxDrains  int
	// PauseLimit is how late a tick may come before beliefs count as expired.
	PauseLimit time.Duration
	// ConfirmWait bounds the confirmation after a pause: a node that reaches
	// nobody serves on with what it has.
	ConfirmWait time.Duration
	// SplitWait is how long other views are seen before a problem is raised.
	SplitWait time.Duration
	// DrainLife is how long a drain mark holds without being seen again.
	DrainLife time.Duration
	// ForgetWait is how long a dead node that is not listed is remembered.
	ForgetWait time.Duration
}

// Fill sets the default of every field that is zero.
func (c *Config) Fill() {
	c.Neighbours = cmp.Or(c.Neighbours, 4)
	c.Crossing = cmp.Or(c.Crossing, 1)
	c.Period = cmp.Or(c.Period, time.Second)
	c.ReplyWait = cmp.Or(c.ReplyWait, 500*time.Millisecond)
	c.Round = cmp.Or(c.Round, 500*time.Millisecond)
	c.Rounds = cmp.Or(c.Rounds, 4)
	c.Helpers = cmp.Or(c.Helpers, 3)
	c.MaxUpdates = cmp.Or(c.MaxUpdates, 256)
	c.MaxRepairs = cmp.Or(c.MaxRepairs, 3)
	c.MaxDrains = cmp.Or(c.MaxDrains, 16)
	c.PauseLimit = cmp.Or(c.PauseLimit, time.Second)
	c.ConfirmWait = cmp.Or(c.ConfirmWait, 2*time.Second)
	c.SplitWait = cmp.Or(c.SplitWait, 10*time.Second)
	c.DrainLife = cmp.Or(c.DrainLife, 5*time.Minute)
	c.ForgetWait = cmp.Or(c.ForgetWait, 2*time.Minute)
}

// TickEvery is how often a machine wants a Tick.
const TickEvery = 100 * time.Millisecond
