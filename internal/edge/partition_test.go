package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/edge/settings"
	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// cutOff starts a node whose ways to the store and from the other nodes can be cut.
func (w *world) cutOff(dataCentre string) (store *faultproxy.TCP, links *faultproxy.UDP) {
	w.t.Helper()
	w.startOne(dataCentre, func(s *settings.Edge) {
		var err error
		store, err = faultproxy.StartTCP(s.StoreAddress, 1)
		require.NoError(w.t, err)
		s.StoreAddress = store.Address()
		s.PeerListen = s.PeerAddress
		links, err = faultproxy.StartUDP(s.PeerListen, 1)
		require.NoError(w.t, err)
		s.PeerAddress = links.Address()
	})
	w.t.Cleanup(func() {
		_ = store.Close()
		_ = links.Close()
	})
	return store, links
}

// inForce waits until a node's configuration is a version.
func (w *world) inForce(one *node, version uint64) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		_, page := w.get("http://"+one.Settings.MetricsAddress+"/metrics", nil)
		return strings.Contains(page, fmt.Sprintf("\npistachiopier_config_version %d\n", version))
	}, patience, 5*time.Millisecond, "version %d at %s", version, one.Settings.Node)
}

// A node loses its way to the store, and a change comes: it must have it from the others. Then
// the others cannot reach it either, while it still reaches them. Requests go on throughout,
// and after the last cut is mended nothing goes back to an older version.
func TestANodeCutOffFromTheStoreFollowsTheOthers(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.configure(1)
	w.start("east", "east")
	store, links := w.cutOff("east")
	w.ready()
	alone := w.nodes[2]
	store.SetBoth(faultproxy.Faults{Blocked: true})
	w.configure(2)
	w.inForce(alone, 2)
	links.SetBoth(faultproxy.Faults{Blocked: true})
	w.configure(3)
	w.inForce(alone, 3)
	for i := range 20 {
		response, _ := w.ask(alone, http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	store.SetBoth(faultproxy.Faults{})
	links.SetBoth(faultproxy.Faults{})
	w.configure(4)
	for _, one := range w.nodes {
		w.inForce(one, 4)
	}
	var versions []string
	for line := range strings.Lines(alone.log.String()) {
		if strings.Contains(line, `"config_in_force"`) {
			_, after, _ := strings.Cut(line, `"version":`)
			versions = append(versions, after[:1])
		}
	}
	require.IsIncreasing(t, versions)
}

// A catalogue is split from two shards into three, and joined again, while questions run. Parts
// of both sets in one answer would list a record twice or leave some out, with a coverage that
// looks whole.
func TestARepartitionNeverMixesTheSets(t *testing.T) {
	w := newWorld(t)
	sets := [][]string{{"two-a", "two-b"}, {"three-a", "three-b", "three-c"}}
	owner := map[string]int{}
	for number, set := range sets {
		for _, service := range set {
			for _, dataCentre := range []string{"east", "west"} {
				owner[w.replica(service, dataCentre, service).ID] = number
			}
		}
	}
	publish := func(version uint64) {
		w.configure(version, route("split", platformtest.KindIdempotent, gather(6, 0.5, sets[version%2]...)))
	}
	publish(1)
	w.start("east", "west")
	w.ready()
	stop := make(chan struct{})
	var asking sync.WaitGroup
	var mutex sync.Mutex
	seen := map[int]int{}
	for caller := range 4 {
		asking.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				response, body, err := w.try(w.nodes[caller%2], http.MethodGet, "/split/x", fmt.Sprintf("c%d-%d", caller, i), "")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("no answer during a repartition: %v %v", response, err)
					return
				}
				number, whole := setOf(response.Header.Get("Pistachiopier-Part-Stamps"), owner)
				missing, _ := strconv.Atoi(response.Header.Get("Pistachiopier-Missing-Parts"))
				if !whole || len(strings.Fields(body))+missing != len(sets[number]) {
					t.Errorf("parts %s with records %q", response.Header.Get("Pistachiopier-Part-Stamps"), body)
				}
				mutex.Lock()
				seen[number]++
				mutex.Unlock()
			}
		})
	}
	for version := uint64(2); version <= 8; version++ {
		publish(version)
		for _, one := range w.nodes {
			w.inForce(one, version)
		}
	}
	close(stop)
	asking.Wait()
	require.Positive(t, seen[0])
	require.Positive(t, seen[1])
}

// setOf finds the set of shards that signed; false when there are two.
func setOf(stamps string, owner map[string]int) (int, bool) {
	found := map[int]bool{}
	last := 0
	for _, stamp := range strings.Split(stamps, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(stamp), ".")
		last = owner[id]
		found[last] = true
	}
	return last, len(found) == 1
}
