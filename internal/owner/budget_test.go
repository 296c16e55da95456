package owner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/budget"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Guards against a separate retry budget for each loop. All replicas of a service
// fail, and its shards are spread over all loops: with four budgets the node would add
// four times the floor in retries to upstreams that are already down. Retries and
// hedges of the node together must stay within one budget.
func TestExtraAttemptsOfANodeStayWithinOneBudget(t *testing.T) {
	const shards, rounds = 10 * defaultLoops, 3
	b := startFixture(t)
	b.publishFailing(shards)
	for range rounds {
		for shard := range shards {
			b.askShard(shard)
		}
		for range shards {
			require.NotEqualValues(t, core.Done, b.nextPart().GetOutcome())
		}
	}
	first := b.counter("owner_first_tries_total")
	extra := b.counter("owner_retries_total") + b.counter("owner_hedges_total")
	t.Logf("%d first attempts, %d extra attempts", first, extra)
	require.Positive(t, first)
	require.LessOrEqual(t, extra, first/10+budget.DefaultFloor)
	require.Positive(t, extra)
}

// publishFailing publishes a service with the given number of shards. Each has two
// replicas that answer every request with status 500, so that it may have run.
func (b *fixture) publishFailing(shards int) {
	failing := func() string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
			w.WriteHeader(http.StatusInternalServerError)
		}))
		b.t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	var text strings.Builder
	text.WriteString("version: 1\nindexes: [i]\nservices:\n  - name: prices\n    index: i\n    shards:\n")
	for range shards {
		fmt.Fprintf(&text, "      - replicas: [{address: %q}, {address: %q}]\n", failing(), failing())
	}
	parsed, err := catalog.Parse([]byte(text.String()))
	require.NoError(b.t, err)
	b.belief.SetConfig(&belief.Config{Revision: 2, Catalog: parsed})
}

// askShard sends one request to the shard, each shard for a different customer.
func (b *fixture) askShard(shard int) {
	ref := core.ShardRef{Service: "prices", Shard: shard}
	message := &peerpb.BundleRequest{
		Customer:   fmt.Sprintf("customer-%d", shard),
		RequestId:  ref.String(),
		Bundle:     uint32(b.belief.Config().Catalog.Shard(ref).Bundle),
		TimeLeftUs: uint64(time.Minute.Microseconds()),
		Question:   []byte("{}"),
		Asks:       []*peerpb.ShardAsk{{Service: "prices", Shard: uint32(shard)}},
	}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: message}}
	b.owner.HandleBundle(peer.NewInbound(context.Background(), peer.Identity{}, envelope, func(reply *peerpb.Envelope) { b.parts <- reply.GetPart() }))
}
