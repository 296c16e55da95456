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

// shardChecker drives a Shard with random events and checks every action.
type shardChecker struct {
	*rapid.T
	shard   *Shard
	now     core.Time
	offered map[RequestID]*offeredState
	running map[AttemptID]Dispatch
	states  map[string]string
	usable  map[string]bool
	nextID  RequestID
}

type offeredState struct {
	Offered
	ended      bool
	mayHaveRun int
	attempts   int
	// outcomes holds the outcomes of the ended attempts.
	outcomes map[AttemptID]core.Outcome
}

func newShardChecker(t *rapid.T) *shardChecker {
	c := &shardChecker{T: t, offered: map[RequestID]*offeredState{}, running: map[AttemptID]Dispatch{}, states: map[string]string{}}
	c.shard = NewShard(c.newConfig(3, 0))
	return c
}

func (c *shardChecker) newConfig(replicas, draining int) Config {
	config := Config{Service: "s", Slots: 2, Share: 3, MaxQueue: 6, Budget: budget.NewGroup(budget.GroupConfig{}), Latency: &latency.Histogram{}}
	for range 40 {
		// Known latencies make hedges due after 5 ms.
		config.Latency.Record(5 * time.Millisecond)
	}
	c.usable = map[string]bool{}
	for i := range replicas {
		address := fmt.Sprint("r", i)
		config.Replicas = append(config.Replicas, ReplicaConfig{Address: address, Draining: i < draining})
		c.usable[address] = i >= draining
	}
	return config
}

func (c *shardChecker) step(event Event) {
	for _, action := range c.shard.Step(c.now, event) {
		switch a := action.(type) {
		case HealthChanged:
			c.states[a.Address] = a.To
		case Forgotten:
			delete(c.states, a.Address)
		case Dispatch:
			c.checkDispatch(a)
		case Settle:
			c.checkSettle(a)
		case Refuse:
			require.Zero(c, c.offered[a.Request].attempts, "refused as not run after an attempt")
			c.checkEnd(a.Request)
		}
	}
	c.checkState()
}

func (c *shardChecker) checkDispatch(a Dispatch) {
	r := c.offered[a.Request]
	require.False(c, r.ended)
	require.Positive(c, a.TimeLeft, "dispatched past its deadline")
	require.Equal(c, r.Deadline-c.now, a.TimeLeft)
	require.NotContains(c, []string{"draining", "gone"}, c.states[a.Address])
	require.True(c, c.usable[a.Address], "dispatched to a replica that is draining or not configured")
	if r.Once {
		require.Zero(c, r.mayHaveRun, "a once request was repeated although it may have run")
		require.NotEqual(c, KindHedge, a.Kind)
	}
	r.mayHaveRun++
	r.attempts++
	require.LessOrEqual(c, r.attempts, maxAttempts)
	c.running[a.Try] = a
}

// checkSettle checks that the best result is reported: a request is not reported as not run if one of
// its attempts may have run.
func (c *shardChecker) checkSettle(a Settle) {
	r := c.offered[a.Request]
	require.Equal(c, r.attempts, a.Tries)
	require.Contains(c, r.outcomes, a.Try)
	for _, outcome := range r.outcomes {
		require.GreaterOrEqual(c, outcomePriority(r.outcomes[a.Try]), outcomePriority(outcome))
	}
	c.checkEnd(a.Request)
}

func (c *shardChecker) checkEnd(id RequestID) {
	require.False(c, c.offered[id].ended, "a request ended twice")
	c.offered[id].ended = true
}

func (c *shardChecker) checkState() {
	waiting := c.shard.queue.waiting
	for _, r := range c.shard.replicas {
		if r.usable() {
			// A limit that has just been lowered may be below the number in flight.
			require.LessOrEqual(c, r.inFlight, 3)
		}
		require.False(c, waiting > 0 && r.available(c.now), "%s has a free slot while requests wait", r.Address)
	}
	require.LessOrEqual(c, waiting, 6)
	require.LessOrEqual(c, len(c.shard.queue.customers), 6+maxIdleFlows)
	if c.shard.Waiting() > 0 {
		require.Greater(c, c.shard.wakeAt, c.now, "requests wait but no wake-up is scheduled")
	}
	if waiting == 0 {
		require.Empty(c, c.shard.queue.customers, "idle customers must be removed when no request waits")
	}
}

func (c *shardChecker) offer() {
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

func (c *shardChecker) endAttempt(outcome core.Outcome, reason core.Reason) {
	if len(c.running) == 0 {
		return
	}
	ids := make([]AttemptID, 0, len(c.running))
	for id := range c.shard.lastAttempt + 1 {
		if _, running := c.running[id]; running {
			ids = append(ids, id)
		}
	}
	id := rapid.SampledFrom(ids).Draw(c.T, "try")
	ended := c.running[id]
	delete(c.running, id)
	c.offered[ended.Request].outcomes[id] = outcome
	if outcome == core.NotRun {
		c.offered[ended.Request].mayHaveRun--
	}
	refused := outcome == core.NotRun && reason == core.ReasonUpstreamFailed
	c.step(TryEnded{Try: id, Outcome: outcome, Reason: reason, Refused: refused, Load: -1, Draining: reason == core.ReasonDraining})
}

func TestShardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newShardChecker(t)
		offer := func(*rapid.T) { c.offer() }
		done := func(*rapid.T) { c.endAttempt(core.Done, "") }
		t.Repeat(map[string]func(*rapid.T){
			"offer": offer, "offer more": offer, "offer still more": offer,
			"done": done, "done again": done,
			"failed":   func(*rapid.T) { c.endAttempt(core.Unknown, core.ReasonUpstreamFailed) },
			"shed":     func(*rapid.T) { c.endAttempt(core.NotRun, core.ReasonOverloaded) },
			"refused":  func(*rapid.T) { c.endAttempt(core.NotRun, core.ReasonUpstreamFailed) },
			"gone":     func(*rapid.T) { c.endAttempt(core.NotRun, core.ReasonVersionGone) },
			"draining": func(*rapid.T) { c.endAttempt(core.NotRun, core.ReasonDraining) },
			"late":     func(*rapid.T) { c.endAttempt(core.Unknown, core.ReasonDeadline) },
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
				c.step(Reconfigured{Config: c.newConfig(rapid.IntRange(0, 4).Draw(t, "replicas"), rapid.IntRange(0, 2).Draw(t, "draining"))})
			},
			"time passes": func(t *rapid.T) {
				c.now += time.Duration(rapid.SampledFrom([]int{1, 10, 100, 40_000}).Draw(t, "ms")) * time.Millisecond
				c.step(Woken{})
			},
		})
		c.finish()
	})
}

// finish ends all attempts and advances time. Every request must have ended then.
func (c *shardChecker) finish() {
	for len(c.running) > 0 {
		c.endAttempt(core.Done, "")
	}
	c.now += time.Hour
	c.step(Woken{})
	for len(c.running) > 0 {
		c.endAttempt(core.Done, "")
	}
	for id, r := range c.offered {
		require.True(c, r.ended, "request %d never ended", id)
	}
	require.True(c, c.shard.Idle())
}

// Guards against nodes jointly exceeding the connection limit of a replica when both halves of a
// partitioned fleet have an owner and a fallback owner connects while one owner does not respond. The
// replica would refuse connections for requests that it could have served.
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
