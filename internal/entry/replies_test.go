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

// The entry is its own owner and answers inside the loop's own call, while the
// ring is full. The loop must not wait for itself; and when each event was left
// to a goroutine of its own, the last part overtook others, which then counted
// as cut and were asked for again.
func TestEventsOfTheLoopItselfStayInOrder(t *testing.T) {
	f := start(t, config(t, 1, 4), answerAll(func(*peerpb.ShardAsk) core.Reason { return core.ReasonNone }), func(o *Options) { o.ringDepth = 1 })
	for range 50 {
		result := f.ask(t)
		require.Equal(t, 4, result.Coverage.Answered)
		require.Equal(t, bundlesOf(f.belief.Config()), result.Sends, "nothing was asked twice")
	}
}

func bundlesOf(config *belief.Config) int { return len(config.Catalog.Bundles) }

// A loop does not keep up and its ring is full. A peer's reader waits for it, in
// its own goroutine and no longer than the question's caller does.
func TestAReaderWaitsNoLongerThanTheQuestion(t *testing.T) {
	began := time.Now()
	options := Options{Now: func() core.Time { return time.Since(began) }, Metrics: observe.NewRegistry(), ringDepth: 1}
	l := newLoop(context.Background(), options, newShared(options))
	late := &replies{loop: l, deadline: options.Now() + 20*time.Millisecond}
	late.put(stepped{id: 1, event: query.Woken{}})
	require.Zero(t, l.metrics.undelivered.Count())
	late.put(stepped{id: 1, event: query.Woken{}})
	require.EqualValues(t, 1, l.metrics.undelivered.Count())
	require.GreaterOrEqual(t, options.Now(), late.deadline)

	waits := &replies{loop: l, deadline: options.Now() + time.Hour}
	delivered := make(chan struct{})
	go func() {
		defer close(delivered)
		waits.put(stepped{id: 2, event: query.Woken{}})
	}()
	require.EqualValues(t, 1, (<-l.events.Items()).(stepped).id)
	<-delivered
	require.EqualValues(t, 2, (<-l.events.Items()).(stepped).id)
}

// No node is live. The loop's own failed sends must end the question without
// the ring, be it full or not.
func TestNoNodeEndsThinWithAFullRing(t *testing.T) {
	f := start(t, config(t, 1, 4), nodes{}, func(o *Options) { o.ringDepth = 1 })
	f.belief.SetView(route.NewView(nil))
	require.Equal(t, core.ReasonPeerUnreached, f.ask(t).Coverage.Missing[0].Reason)
}
