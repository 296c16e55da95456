package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// layoutConfig describes one service with one shard for each upstream.
func layoutConfig(upstreams []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [i]\nservices:\n  - name: prices\n    index: i\n    timeout: 5s\n    shards:\n")
	for _, u := range upstreams {
		fmt.Fprintf(&b, "      - replicas: [{address: %q, data_centre: dc1}]\n", u.Address())
	}
	return b.String()
}

// Guards against answers that mix parts of two layouts while a service is split
// from two shards into three on other replicas, and merged back: such an answer
// would repeat some results and lack others, and still claim to be complete.
func TestNoAnswerMixesTwoLayouts(t *testing.T) {
	upstreams := startUpstreams(t, 5)
	layouts := [][]*standin.Upstream{upstreams[:2], upstreams[2:]}
	layoutOf := map[string]int{}
	for i, layout := range layouts {
		for _, u := range layout {
			layoutOf[u.Address()] = i
		}
	}
	f := startFleet(t, 3, layoutConfig(layouts[0]))
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	for round := 1; round <= 4; round++ {
		revision := f.Platform.Publish(layoutConfig(layouts[round%2]))
		for queryIndex := 0; !f.isReady(revision) || queryIndex < 20; queryIndex++ {
			require.NoError(t, ctx.Err(), "the configuration did not come into force in time")
			entry := f.Members()[queryIndex%len(f.Members())].Addresses.Caller
			reply, err := caller.Query(ctx, entry, "prices", api.QueryRequest{Customer: "supervisor"})
			require.NoError(t, err)
			requireOneLayout(t, reply, layoutOf, layouts)
		}
	}
}

func requireOneLayout(t *testing.T, reply api.QueryReply, layoutOf map[string]int, layouts [][]*standin.Upstream) {
	t.Helper()
	seen := map[int]bool{}
	for _, part := range reply.Parts {
		var payload struct {
			Replica string `json:"replica"`
		}
		require.NoError(t, json.Unmarshal(part.Data, &payload))
		seen[layoutOf[payload.Replica]] = true
		require.Len(t, layouts[layoutOf[payload.Replica]], reply.Coverage.Asked, "a replica of a layout that was not queried")
	}
	require.LessOrEqual(t, len(seen), 1, "parts of two layouts in one answer")
	require.Equal(t, reply.Coverage.Asked, reply.Coverage.Answered+len(reply.Coverage.Missing))
}
