package owner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// pricesConfig returns a configuration of one service with the given number of shards,
// each with one replica of one slot.
func pricesConfig(t *testing.T, revision uint64, shards int) *belief.Config {
	t.Helper()
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [i]\nservices:\n  - name: prices\n    index: i\n    slots: 1\n    shards:\n")
	for i := range shards {
		fmt.Fprintf(&b, "      - replicas: [{address: \"127.0.0.1:%d\"}]\n", i+1)
	}
	parsed, err := catalog.Parse([]byte(b.String()))
	require.NoError(t, err)
	return &belief.Config{Revision: revision, Catalog: parsed}
}

// Guards against an incomplete answer that counts as complete. A query planned for two
// shards is queued at the owner while the service is split into four. If it were sent,
// the replica of shard 0 of four would answer for shard 0 of two.
func TestQueuedRequestsOfAnEarlierLayoutAreNotSent(t *testing.T) {
	store := belief.NewStore()
	before, after := pricesConfig(t, 1, 2), pricesConfig(t, 2, 4)
	store.SetConfig(before)
	client := upstream.NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLoop(ctx, Options{Belief: store, Upstream: client, Now: func() core.Time { return 0 }})
	replies := map[string]*peerpb.Part{}
	ask := func(id string, shards int) {
		l.handleRequest(requestReceived{inbound: peer.NewInbound(ctx, peer.Identity{}, bundleOf(before, id, shards), func(reply *peerpb.Envelope) {
			replies[id] = reply.GetPart()
		})})
	}
	ask("running", 2)
	ask("queued", 2)
	require.Empty(t, replies)
	store.SetConfig(after)
	ask("new layout", 4)
	require.Equal(t, string(core.ReasonLayout), replies["queued"].GetReason())
	require.EqualValues(t, core.NotRun, replies["queued"].GetOutcome())
	require.Equal(t, string(core.ReasonLayout), replies["running"].GetReason())
	require.EqualValues(t, core.Unknown, replies["running"].GetOutcome(), "the request was sent and may have run")
	require.NotContains(t, replies, "new layout", "the request is queued or running")
	ask("old layout", 2)
	require.Equal(t, string(core.ReasonLayout), replies["old layout"].GetReason())
}

func bundleOf(config *belief.Config, id string, shards int) *peerpb.Envelope {
	shard := config.Catalog.Services["prices"].Shards[0]
	return &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: &peerpb.BundleRequest{
		RequestId:  id,
		Bundle:     uint32(shard.Bundle),
		TimeLeftUs: uint64(time.Minute.Microseconds()),
		Asks:       []*peerpb.ShardAsk{{Service: "prices", Shards: uint32(shards)}},
	}}}
}
