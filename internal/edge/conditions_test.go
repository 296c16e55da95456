package edge_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// submit sends a request that must not be repeated.
func (h *harness) submit(node *node, id string) {
	h.t.Helper()
	response, _ := h.mustRequest(node, "POST", "/once/x", id, "")
	require.Equal(h.t, 200, response.StatusCode)
}

// A replica turns slow. Requests that must not be repeated have no hedge, and each node sends few of them, so that each
// learned of it by late requests of its own.
func TestANodeHearsOfASlowReplicaFromAnotherOne(t *testing.T) {
	h := newHarness(t)
	slow, fast := h.replica("invoices", "east"), h.replica("invoices", "east")
	slow.SetServiceTime(40 * time.Millisecond)
	fast.SetServiceTime(40 * time.Millisecond)
	h.serve("east", "east", "east")
	for i := range 8 {
		for n, node := range h.nodes {
			h.submit(node, fmt.Sprint("warm", n, "-", i))
		}
	}
	slow.SetServiceTime(1200 * time.Millisecond)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for i := 0; arrivedAfter(slow, "probe") == 0 && i < 100; i++ {
			_, _, _ = h.request(h.nodes[0], "POST", "/once/x", fmt.Sprint("probe", i), "")
		}
	}()
	for _, node := range h.nodes[1:] {
		line := h.waitForEvent(node, "replica_believed")
		require.Contains(t, line, slow.ID)
		require.Contains(t, line, h.nodes[0].Settings.PeerAddress)
		h.waitForBelief(node, slow.ID)
		for i := range 3 {
			h.submit(node, fmt.Sprint("told", node.Settings.PeerAddress, "-", i))
		}
	}
	require.Zero(t, arrivedAfter(slow, "told"))
	<-answered
}

// unusualReplica is the entry of a replica in a node's dump.
type unusualReplica struct {
	Replica  string   `json:"replica"`
	Slowness float64  `json:"slowness"`
	From     []string `json:"from"`
}

// waitForBelief waits until a node believes by another one's word that a replica is slow. Its own last outcome from there
// must have become old for that.
func (h *harness) waitForBelief(node *node, replica string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		_, body := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
		var dump struct {
			Unusual []unusualReplica `json:"replicas_unusual"`
		}
		if json.Unmarshal([]byte(body), &dump) != nil {
			return false
		}
		return slices.ContainsFunc(dump.Unusual, func(u unusualReplica) bool {
			return u.Replica == replica && u.Slowness > 2 && len(u.From) > 0
		})
	}, waitLimit, 10*time.Millisecond)
}

// arrivedAfter counts the arrivals whose ids have a prefix.
func arrivedAfter(replica *platformtest.Replica, prefix string) int {
	count := 0
	for _, arrival := range replica.Arrivals() {
		if strings.HasPrefix(arrival.ID, prefix) {
			count++
		}
	}
	return count
}
