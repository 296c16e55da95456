package edge_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

var openedMetric = regexp.MustCompile(`(?m)^pistachiopier_replica_connections_opened_total (\d+)$`)

func connectionsOpened(h *harness, node *node) int {
	_, text := h.get("http://"+node.Settings.MetricsAddress+"/metrics", nil)
	found := openedMetric.FindStringSubmatch(text)
	require.NotNil(h.t, found)
	count, _ := strconv.Atoi(found[1])
	return count
}

// Guards against answers that differ between nodes: a user got two lists from the same search through nodes
// in two data centres. Each node gets a different half of the parts merged by a helper, in any order, and
// several shards have equal records. Every node must return the same complete answer.
func TestAnAnswerOfEqualPartsIsTheSameFromEveryNode(t *testing.T) {
	const shards, topK = 24, 10
	h := newHarness(t)
	var names []string
	var config platformtest.Config
	for i := range shards {
		name := fmt.Sprintf("t%02d", i)
		names = append(names, name)
		var records []string
		for j := range topK {
			// Every third shard has the same records as the one before it.
			records = append(records, fmt.Sprintf("%03d-%02d", (i*37+j*11)%200, i-i%3))
		}
		h.replica(name, []string{"east", "west"}[i%2], records...)
		config.Services = append(config.Services, platformtest.Service{Name: name, HealthPath: "/health", MaxConns: 100})
	}
	config.Version, config.Limits = 1, platformtest.DefaultLimits()
	config.Routes = []platformtest.Route{route("all", platformtest.KindIdempotent, gather(topK, 1, names...))}
	h.store.Publish(config)
	h.start("east", "west", "east", "west")
	h.waitReady()
	first := ""
	requireSameAnswer := func(node *node, id string) {
		response, body := h.mustRequest(node, http.MethodGet, "/all/q", id, "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		stamps := strings.Split(strings.Join(response.Header.Values("Pistachiopier-Part-Stamps"), ","), ",")
		require.Len(t, stamps, shards)
		if first == "" {
			first = body
		}
		require.Equal(t, first, body)
	}
	for round := range 3 {
		requireSameAnswer(h.nodes[0], fmt.Sprintf("q-%d", round))
	}
	for i, node := range h.nodes {
		requireSameAnswer(node, fmt.Sprintf("q-of-%d", i))
	}
	require.Len(t, first, topK*16)
}

// The nearest replica is slow. The hedge must go through the node near the other replica, which holds
// connections to it, and not over a connection of the entry node: opening one takes a slot of the replica,
// and an exchange over it ten times the bytes between data centres.
func TestAHedgeToAnotherDataCentreGoesThroughANodeThere(t *testing.T) {
	h := newHarness(t)
	slow := h.replica("s1", "east", "a", "h", "c")
	h.replica("s2", "east", "g", "b", "i")
	h.replica("s3", "east", "e", "j", "d")
	other := h.replica("s1", "west", "a", "h", "c")
	h.replica("s2", "west", "g", "b", "i")
	h.serve("east", "west")
	slow.SetServiceTime(time.Second)
	response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"j", "i", "h"}, strings.Fields(body))
	require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, other.Arrivals(), 1)
	require.Equal(t, 1, connectionsOpened(h, h.nodes[1]))
	require.Equal(t, 3, connectionsOpened(h, h.nodes[0]))
}
