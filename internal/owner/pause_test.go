package owner

import (
	"context"
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

// An owner was paused while another node took over its replicas. A request that arrives
// after the pause is refused as not run at once, with a retry-after time. A request
// that was queued before the pause is not sent.
func TestAPausedOwnerSendsNothing(t *testing.T) {
	text, err := catalog.Parse([]byte("version: 1\nindexes: [i]\nservices:\n  - name: a\n    index: i\n    shards: [{replicas: [{address: \"127.0.0.1:9\", data_centre: d}]}]\n"))
	require.NoError(t, err)
	store := belief.NewStore()
	store.SetConfig(&belief.Config{Revision: 1, Catalog: text})
	store.SetPaused(true)
	owner := New(Options{Self: "vm-1", Belief: store, Upstream: upstream.NewClient(), Now: func() core.Time { return time.Second }})
	defer owner.Close()
	replies := make(chan *peerpb.Envelope, 1)
	request := &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: &peerpb.BundleRequest{}}}
	owner.HandleBundle(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { replies <- reply }))
	refusal := (<-replies).GetRefusal()
	require.NotNil(t, refusal)
	require.Positive(t, refusal.GetRetryAfterMs())

	result := owner.loops[0].sendUnlessPaused(context.Background(), &bundleWork{}, upstream.Call{Address: "127.0.0.1:9"})
	require.Equal(t, core.NotRun, result.Outcome)
	require.Nil(t, result.Cause, "no connection was attempted")
}
