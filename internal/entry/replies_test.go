package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// The entry is also the owner and replies inside the loop's own call to Ask, while the
// ring is full. Guards against a loop that waits for itself, and against reordering: when
// each event had its own goroutine, the last part overtook others, the reply looked
// truncated, and those parts were requested again.
func TestEventsOfTheLoopItselfStayInOrder(t *testing.T) {
	f := start(t, config(t, 1, 4), answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone }), func(o *Options) { o.ringDepth = 1 })
	for range 50 {
		result := f.ask(t)
		require.Equal(t, 4, result.Coverage.Answered)
		require.Equal(t, bundlesOf(f.belief.Config()), result.Sends, "no part was requested twice")
	}
}

func bundlesOf(config *belief.Config) int { return len(config.Catalog.Bundles) }

// The ring of a slow loop is full. The goroutine that reads from a peer waits for the
// loop, but not beyond the deadline of the query.
func TestReaderWaitsNoLongerThanTheQuery(t *testing.T) {
	started := time.Now()
	options := Options{Now: func() core.Time { return time.Since(started) }, Metrics: observe.NewRegistry(), ringDepth: 1}
	l := newLoop(context.Background(), options, newShared(options))
	late := &replySink{loop: l, deadline: options.Now() + 20*time.Millisecond}
	late.put(queryEvent{id: 1, event: query.Woken{}})
	require.Zero(t, l.metrics.undelivered.Count())
	late.put(queryEvent{id: 1, event: query.Woken{}})
	require.EqualValues(t, 1, l.metrics.undelivered.Count())
	require.GreaterOrEqual(t, options.Now(), late.deadline)

	waiting := &replySink{loop: l, deadline: options.Now() + time.Hour}
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		waiting.put(queryEvent{id: 2, event: query.Woken{}})
	}()
	require.EqualValues(t, 1, (<-l.events.Items()).(queryEvent).id)
	<-delivered
	require.EqualValues(t, 2, (<-l.events.Items()).(queryEvent).id)
}

// No node is live. The events of failed sends must not go through the ring, so the query
// ends even if the ring is full.
func TestQueryWithoutLiveNodesEndsWithAFullRing(t *testing.T) {
	f := start(t, config(t, 1, 4), nodes{}, func(o *Options) { o.ringDepth = 1 })
	f.belief.SetView(route.NewView(nil))
	require.Equal(t, core.ReasonPeerUnreached, f.ask(t).Coverage.Missing[0].Reason)
}
