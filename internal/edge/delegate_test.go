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

var opened = regexp.MustCompile(`(?m)^pistachiopier_replica_connections_opened_total (\d+)$`)

func connectionsOpened(w *world, one *node) int {
	_, text := w.get("http://"+one.Settings.MetricsAddress+"/metrics", nil)
	found := opened.FindStringSubmatch(text)
	require.NotNil(w.t, found)
	count, _ := strconv.Atoi(found[1])
	return count
}

// A supervisor runs the same search twice, first by a node in one data centre and then by one in another, and
// gets two cue lists. Half of the parts come merged by a node elsewhere, another half for each node that is
// asked, in any order, with records that are equal in several shards. The answer must be whole and the same
// bytes from every node.
func TestAnAnswerOfEqualPartsIsTheSameFromEveryNode(t *testing.T) {
	const shards, topK = 24, 10
	w := newWorld(t)
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
		w.replica(name, []string{"east", "west"}[i%2], records...)
		config.Services = append(config.Services, platformtest.Service{Name: name, HealthPath: "/health", MaxConns: 100})
	}
	config.Version, config.Limits = 1, platformtest.DefaultLimits()
	config.Routes = []platformtest.Route{route("all", platformtest.KindIdempotent, gather(topK, 1, names...))}
	w.store.Publish(config)
	w.start("east", "west", "east", "west")
	w.ready()
	first := ""
	ask := func(one *node, id string) {
		response, body := w.ask(one, http.MethodGet, "/all/q", id, "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		stamps := strings.Split(strings.Join(response.Header.Values("Pistachiopier-Part-Stamps"), ","), ",")
		require.Len(t, stamps, shards)
		if first == "" {
			first = body
		}
		require.Equal(t, first, body)
	}
	for round := range 3 {
		ask(w.nodes[0], fmt.Sprintf("q-%d", round))
	}
	for i, one := range w.nodes {
		ask(one, fmt.Sprintf("q-of-%d", i))
	}
	require.Len(t, first, topK*16)
}

// The replica next to the entry stands still. The hedge goes through the node next to the other replica, which
// holds connections to it, and not over a connection of the entry's own: that one takes a replica's
// slot to open, and an exchange over it ten times the bytes between data centres.
func TestAHedgeToAnotherDataCentreGoesThroughANodeThere(t *testing.T) {
	w := newWorld(t)
	still := w.replica("s1", "east", "a", "h", "c")
	w.replica("s2", "east", "g", "b", "i")
	w.replica("s3", "east", "e", "j", "d")
	other := w.replica("s1", "west", "a", "h", "c")
	w.replica("s2", "west", "g", "b", "i")
	w.serve("east", "west")
	still.SetServiceTime(time.Second)
	response, body := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"j", "i", "h"}, strings.Fields(body))
	require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, other.Arrivals(), 1)
	require.Equal(t, 1, connectionsOpened(w, w.nodes[1]))
	require.Equal(t, 3, connectionsOpened(w, w.nodes[0]))
}
