package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// sixtyRecords returns records that all begin with a prefix.
func sixtyRecords(prefix string) []byte {
	var body strings.Builder
	for i := range 60 {
		fmt.Fprintf(&body, "%-16s", fmt.Sprintf("%s%03d", prefix, i))
	}
	return []byte(body.String())
}

// endedSend returns an exchange with a whole answer.
func endedSend(id, service int, body []byte) *exchange {
	exchange := &exchange{handled: true, verdict: scatter.Succeeded, response: &replicaconn.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}}
	exchange.send.ID, exchange.send.Service = id, service
	platform.SetStamp(exchange.response.Header, fmt.Sprint("stamp-", service))
	return exchange
}

// gatherRequest returns a request of three shards, the second of which was delegated and returned as an
// excerpt.
func gatherRequest(n *Node, route *policy.Route, excerpts *topk.ExcerptBuilder) *request {
	q := &request{node: n, route: route, services: route.Gather.Shards}
	q.sends = []*exchange{endedSend(0, 0, sixtyRecords("a")), endedSend(1, 1, nil), endedSend(2, 2, sixtyRecords("b"))}
	remote := q.sends[1]
	remote.batch = &batch{excerpt: excerpts.Build([][]byte{sixtyRecords("z")}), members: []*exchange{remote}}
	remote.group = &group{batches: []*batch{remote.batch}}
	return q
}

// One shard, in the other data centre, holds all of the greatest records, so the excerpt of the helper there
// is too short. The answer must not name the part as included, and the next requests must request it in full.
func TestAMergeLeavesOutAnExcerptThatIsTooShort(t *testing.T) {
	n := newNode(&settings.Edge{DataCentre: "east"}, io.Discard)
	route := &policy.Route{Name: "deep", Gather: &policy.Gather{Shards: []string{"s1", "s2", "s3"}, TopK: 50, MinCoverage: 0.6}}
	result := scatter.Result{Parts: []int{0, 1, 2}, Received: 3, Enough: true}

	q := gatherRequest(n, route, topk.NewExcerptBuilder(50, n.state.excerptParts(route)))
	body, stamps, taken := q.merge(result)
	require.Equal(t, []bool{true, false, true}, taken)
	require.ElementsMatch(t, []string{"stamp-0", "stamp-2"}, stamps)
	require.Len(t, strings.Fields(string(body)), 50)
	require.Equal(t, "b059", strings.Fields(string(body))[0])
	require.Equal(t, "excerpt_unused", q.steps[0].Event)

	q = gatherRequest(n, route, topk.NewExcerptBuilder(50, n.state.excerptParts(route)))
	body, stamps, taken = q.merge(result)
	require.Equal(t, []bool{true, true, true}, taken)
	require.Len(t, stamps, 3)
	require.Len(t, strings.Fields(string(body)), 50)
	require.Equal(t, "z059", strings.Fields(string(body))[0])
}
