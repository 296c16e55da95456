package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

// checked drives a Shard with arbitrary events and checks every action.
type checked struct {
	*rapid.T
	shard   *Shard
	now     core.Time
	offered map[RequestID]*offeredState
	tries   map[AttemptID]Dispatch
	states  map[string]string
	inText  map[string]bool
	nextID  RequestID
}

type offeredState struct {
	Offered
	ended  bool
	mayRun int
	tries  int
	// outcomes are those of the tries that have ended.
	outcomes map[AttemptID]core.Outcome
}

func newChecked(t *rapid.T) *checked {
	c := &checked{T: t, offered: map[RequestID]*offeredState{}, tries: map[AttemptID]Dispatch{}, states: map[string]string{}}
	c.shard = NewShard(c.text(3, 0))
	return c
}

func (c *checked) text(replicas, draining int) Config {
	config := Config{Service: "s", Slots: 2, Share: 3, MaxQueue: 6, Budget: budget.NewGroup(budget.GroupConfig{}), Latency: &latency.Histogram{}}
	for range 40 {
		// Known latencies make hedges due after 5 ms.
		config.Latency.Record(5 * time.Millisecond)
	}
	c.inText = map[string]bool{}
	for i := range replicas {
		address := fmt.Sprint("r", i)
		config.Replicas = append(config.Replicas, ReplicaConfig{Address: address, Draining: i < draining})
		c.inText[address] = i >= draining
	}
	return config
}

func (c *checked) step(event Event) {
	for _, action := range c.shard.Step(c.now, event) {
		switch a := action.(type) {
		case HealthChanged:
			c.states[a.Address] = a.To
		case Forgotten:
			delete(c.states, a.Address)
		case Dispatch:
			c.dispatched(a)
		case Settle:
			c.settled(a)
		case Refuse:
			require.Zero(c, c.offered[a.Request].tries, "refused as not run after it was sent")
			c.end(a.Request)
		}
	}
	c.checkState()
}

func (c *checked) dispatched(a Dispatch) {
	r := c.offered[a.Request]
	require.False(c, r.ended)
	require.Positive(c, a.TimeLeft, "dispatched past its deadline")
	require.Equal(c, r.Deadline-c.now, a.TimeLeft)
	require.NotContains(c, []string{"draining", "gone"}, c.states[a.Address])
	require.True(c, c.inText[a.Address], "dispatched to a replica that the text drains or lacks")
	if r.Once {
		require.Zero(c, r.mayRun, "a once request was sent again although it may have run")
		require.NotEqual(c, KindHedge, a.Kind)
	}
	r.mayRun++
	r.tries++
	require.LessOrEqual(c, r.tries, maxTries)
	c.tries[a.Try] = a
}

// settled checks that the best result is reported: a request of which one try
// may have run is not reported as not run.
func (c *checked) settled(a Settle) {
	r := c.offered[a.Request]
	require.Equal(c, r.tries, a.Tries)
	require.Contains(c, r.outcomes, a.Try)
	for _, outcome := range r.outcomes {
		require.GreaterOrEqual(c, strength(r.outcomes[a.Try]), strength(outcome))
	}
	c.end(a.Request)
}

func (c *checked) end(id RequestID) {
	require.False(c, c.offered[id].ended, "a request ended twice")
	c.offered[id].ended = true
}

func (c *checked) checkState() {
	waiting := c.shard.queue.waiting
	for _, r := range c.shard.replicas {
		if r.usable() {
			// A limit that has just been lowered may be below what runs already.
			require.LessOrEqual(c, r.inFlight, 3)
		}
		require.False(c, waiting > 0 && r.free(c.now), "%s is idle while requests wait", r.Address)
	}
	require.LessOrEqual(c, waiting, 6)
	require.LessOrEqual(c, len(c.shard.queue.customers), 6+maxIdle)
	if c.shard.Waiting() > 0 {
		require.Greater(c, c.shard.wake, c.now, "waiting requests without an alarm")
	}
	if waiting == 0 {
		require.Empty(c, c.shard.queue.customers, "idle customers are forgotten")
	}
}

func (c *checked) offer() {
	c.nextID++
	e := Offered{
		ID:       c.nextID,
		Customer: core.Customer(rapid.SampledFrom([]string{"large", "chef", "label"}).Draw(c.T, "customer")),
		Weight:   rapid.SampledFrom([]float64{0, 0.5, 1, 4}).Draw(c.T, "weight"),
		Deadline: c.now + time.Duration(rapid.IntRange(-1, 200).Draw(c.T, "ms left"))*time.Millisecond,
		Once:     rapid.IntRange(0, 3).Draw(c.T, "once") == 0,
	}
	c.offered[e.ID] = &offeredState{Offered: e, outcomes: map[AttemptID]core.Outcome{}}
	c.step(e)
}

func (c *checked) endTry(outcome core.Outcome, reason core.Reason) {
	if len(c.tries) == 0 {
		return
	}
	ids := make([]AttemptID, 0, len(c.tries))
	for id := range c.shard.nextTry + 1 {
		if _, running := c.tries[id]; running {
			ids = append(ids, id)
		}
	}
	id := rapid.SampledFrom(ids).Draw(c.T, "try")
	ended := c.tries[id]
	delete(c.tries, id)
	c.offered[ended.Request].outcomes[id] = outcome
	if outcome == core.NotRun {
		c.offered[ended.Request].mayRun--
	}
	refused := outcome == core.NotRun && reason == core.ReasonUpstreamFailed
	c.step(TryEnded{Try: id, Outcome: outcome, Reason: reason, Refused: refused, Load: -1, Draining: reason == core.ReasonDraining})
}

func TestShardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChecked(t)
		offer := func(*rapid.T) { c.offer() }
		done := func(*rapid.T) { c.endTry(core.Done, "") }
		t.Repeat(map[string]func(*rapid.T){
			"offer": offer, "offer more": offer, "offer still more": offer,
			"done": done, "done again": done,
			"failed":   func(*rapid.T) { c.endTry(core.Unknown, core.ReasonUpstreamFailed) },
			"shed":     func(*rapid.T) { c.endTry(core.NotRun, core.ReasonOverloaded) },
			"refused":  func(*rapid.T) { c.endTry(core.NotRun, core.ReasonUpstreamFailed) },
			"gone":     func(*rapid.T) { c.endTry(core.NotRun, core.ReasonVersionGone) },
			"draining": func(*rapid.T) { c.endTry(core.NotRun, core.ReasonDraining) },
			"late":     func(*rapid.T) { c.endTry(core.Unknown, core.ReasonDeadline) },
			"drain seen": func(t *rapid.T) {
				c.step(DrainSeen{Address: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "replica"))})
			},
			"withdraw": func(t *rapid.T) {
				if c.nextID > 0 {
					id := RequestID(rapid.Uint64Range(1, uint64(c.nextID)).Draw(t, "request"))
					c.offered[id].ended = true
					c.step(Withdrawn{ID: id})
				}
			},
			"text": func(t *rapid.T) {
				c.step(Reconfigured{Config: c.text(rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(0, 2).Draw(t, "draining"))})
			},
			"time passes": func(t *rapid.T) {
				c.now += time.Duration(rapid.SampledFrom([]int{1, 10, 100, 40_000}).Draw(t, "ms")) * time.Millisecond
				c.step(Woken{})
			},
		})
		c.finish()
	})
}

// finish ends what runs and lets time pass: every request must have ended.
func (c *checked) finish() {
	for len(c.tries) > 0 {
		c.endTry(core.Done, "")
	}
	c.now += time.Hour
	c.step(Woken{})
	for len(c.tries) > 0 {
		c.endTry(core.Done, "")
	}
	for id, r := range c.offered {
		require.True(c, r.ended, "request %d never ended", id)
	}
	require.True(c, c.shard.Idle())
}

// A node in each half of a split fleet takes itself for the owner, and a third
// is asked while one of them is silent. Beyond the limit the replica refuses
// connections, also to requests that would have been served.
func TestConnectionSharesStayUnderTheLimit(t *testing.T) {
	for limit := 1; limit <= 200; limit++ {
		owner, fallback := ConnectionShare(limit, RoleOwner, 8), ConnectionShare(limit, RoleFallback, 8)
		require.LessOrEqual(t, 2*owner, limit, "limit %d", limit)
		require.LessOrEqual(t, owner+fallback, limit, "limit %d", limit)
		if limit >= 2 {
			require.Positive(t, owner)
			require.Positive(t, fallback)
		}
		if limit >= 3 {
			require.LessOrEqual(t, 2*owner+fallback, limit, "limit %d", limit)
			require.LessOrEqual(t, 2*owner, limit-reserve(limit))
		}
		for nodes := 1; nodes <= 200; nodes++ {
			require.LessOrEqual(t, nodes*ConnectionShare(limit, RoleDirect, nodes), limit-reserve(limit))
		}
	}
	require.Zero(t, ConnectionShare(1, RoleOwner, 8), "one connection cannot be shared")
}
