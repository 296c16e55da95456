package edge_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
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
// gets two cue lists. Each node is weak, so that it shares the sends of a question among its neighbours,
// and asks a node elsewhere to do the same; parts come merged over two hops in any order, with
// records that are equal in several shards. The answer must be whole and the same bytes from every node.
func TestAQuestionThatIsSharedIsTheSameFromEveryNode(t *testing.T) {
	const shards, topK, weak = 24, 10, 0.1
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
	for range 3 {
		for _, dataCentre := range []string{"east", "west"} {
			w.startOne(dataCentre, func(s *settings.Edge) { s.Cores = weak })
		}
	}
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
		require.Positive(t, connectionsOpened(w, one), "node %d sends for the first one", i)
	}
	for i, one := range w.nodes {
		ask(one, fmt.Sprintf("q-of-%d", i))
	}
	require.Len(t, first, topK*16)
}
