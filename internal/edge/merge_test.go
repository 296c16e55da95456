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

// sixtyRecords all begin with a prefix.
func sixtyRecords(prefix string) []byte {
	var body strings.Builder
	for i := range 60 {
		fmt.Fprintf(&body, "%-16s", fmt.Sprintf("%s%03d", prefix, i))
	}
	return []byte(body.String())
}

// ended is a send whose whole answer has come.
func ended(id, service int, body []byte) *exchange {
	one := &exchange{over: true, verdict: scatter.Succeeded, response: &replicaconn.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}}
	one.send.ID, one.send.Service = id, service
	platform.SetStamp(one.response.Header, fmt.Sprint("stamp-", service))
	return one
}

// merged is a request of three shards, of which another node sent the second on by a sender.
func merged(n *Node, route *policy.Route, sender *topk.ExcerptBuilder) *request {
	q := &request{node: n, route: route, services: route.Gather.Shards}
	q.sends = []*exchange{ended(0, 0, sixtyRecords("a")), ended(1, 1, nil), ended(2, 2, sixtyRecords("b"))}
	far := q.sends[1]
	far.batch = &batch{excerpt: sender.Build([][]byte{sixtyRecords("z")}), members: []*exchange{far}}
	far.group = &group{batches: []*batch{far.batch}}
	return q
}

// One shard, in the other data centre, holds all of the greatest records. The node there sends an
// excerpt that is shorter than it should be: the answer must not pass for one that holds the part,
// and the next ones ask for it in full.
func TestAMergeLeavesOutAnExcerptThatIsTooShort(t *testing.T) {
	n := newNode(&settings.Edge{DataCentre: "east"}, io.Discard)
	route := &policy.Route{Name: "deep", Gather: &policy.Gather{Shards: []string{"s1", "s2", "s3"}, TopK: 50, MinCoverage: 0.6}}
	result := scatter.Result{Parts: []int{0, 1, 2}, Received: 3, Enough: true}

	q := merged(n, route, topk.NewExcerptBuilder(50, n.beliefs.excerptParts(route)))
	body, stamps, taken := q.merge(result)
	require.Equal(t, []bool{true, false, true}, taken)
	require.ElementsMatch(t, []string{"stamp-0", "stamp-2"}, stamps)
	require.Len(t, strings.Fields(string(body)), 50)
	require.Equal(t, "b059", strings.Fields(string(body))[0])
	require.Equal(t, "excerpt_unused", q.trail[0].Event)

	q = merged(n, route, topk.NewExcerptBuilder(50, n.beliefs.excerptParts(route)))
	body, stamps, taken = q.merge(result)
	require.Equal(t, []bool{true, true, true}, taken)
	require.Len(t, stamps, 3)
	require.Len(t, strings.Fields(string(body)), 50)
	require.Equal(t, "z059", strings.Fields(string(body))[0])
}
