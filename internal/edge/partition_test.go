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

// startBehindProxies starts a node whose connections to the store and from other nodes can be cut.
func (h *harness) startBehindProxies(dataCentre string) (store *faultproxy.TCP, links *faultproxy.UDP) {
	h.t.Helper()
	h.startOne(dataCentre, func(s *settings.Edge) {
		var err error
		store, err = faultproxy.StartTCP(s.StoreAddress, 1)
		require.NoError(h.t, err)
		s.StoreAddress = store.Address()
		s.PeerListen = s.PeerAddress
		links, err = faultproxy.StartUDP(s.PeerListen, 1)
		require.NoError(h.t, err)
		s.PeerAddress = links.Address()
	})
	h.t.Cleanup(func() {
		_ = store.Close()
		_ = links.Close()
	})
	return store, links
}

// waitForVersion waits until a node has a version of the configuration in force.
func (h *harness) waitForVersion(node *node, version uint64) {
	h.t.Helper()
	h.waitForMetric(node, "pistachiopier_config_version", version)
}

// waitForMetric waits until a metric of a node has a value.
func (h *harness) waitForMetric(node *node, name string, value uint64) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		_, page := h.get("http://"+node.Settings.MetricsAddress+"/metrics", nil)
		return strings.Contains(page, fmt.Sprintf("\n%s %d\n", name, value))
	}, waitLimit, 5*time.Millisecond, "%s %d at %s", name, value, node.Settings.Node)
}

// A node cut off from the store must get a change from the other nodes, then also while these cannot reach it
// but it can reach them. Requests are answered throughout, and after the last fault no version is replaced by
// an older one.
func TestANodeCutOffFromTheStoreFollowsTheOthers(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.configure(1)
	h.start("east", "east")
	store, links := h.startBehindProxies("east")
	h.waitReady()
	alone := h.nodes[2]
	store.SetBoth(faultproxy.Faults{Blocked: true})
	h.configure(2)
	h.waitForVersion(alone, 2)
	links.SetBoth(faultproxy.Faults{Blocked: true})
	h.configure(3)
	h.waitForVersion(alone, 3)
	for i := range 20 {
		response, _ := h.mustRequest(alone, http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	store.SetBoth(faultproxy.Faults{})
	links.SetBoth(faultproxy.Faults{})
	h.configure(4)
	for _, node := range h.nodes {
		h.waitForVersion(node, 4)
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

// A catalogue is split from two shards into three and joined again while queries run. An answer with parts of
// both sets would repeat or omit records although its coverage looks complete.
func TestARepartitionNeverMixesTheSets(t *testing.T) {
	h := newHarness(t)
	sets := [][]string{{"two-a", "two-b"}, {"three-a", "three-b", "three-c"}}
	owner := map[string]int{}
	for number, set := range sets {
		for _, service := range set {
			for _, dataCentre := range []string{"east", "west"} {
				owner[h.replica(service, dataCentre, service).ID] = number
			}
		}
	}
	publish := func(version uint64) {
		h.configure(version, route("split", platformtest.KindIdempotent, gather(6, 0.5, sets[version%2]...)))
	}
	publish(1)
	h.start("east", "west")
	h.waitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mutex sync.Mutex
	seen := map[int]int{}
	for caller := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				response, body, err := h.request(h.nodes[caller%2], http.MethodGet, "/split/x", fmt.Sprintf("c%d-%d", caller, i), "")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("no answer during a repartition: %v %v", response, err)
					return
				}
				number, whole := signingSet(response.Header.Get("Pistachiopier-Part-Stamps"), owner)
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
		for _, node := range h.nodes {
			h.waitForVersion(node, version)
		}
	}
	close(stop)
	callers.Wait()
	require.Positive(t, seen[0])
	require.Positive(t, seen[1])
}

// signingSet returns the set of shards that signed; false if there are two.
func signingSet(stamps string, owner map[string]int) (int, bool) {
	found := map[int]bool{}
	last := 0
	for _, stamp := range strings.Split(stamps, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(stamp), ".")
		last = owner[id]
		found[last] = true
	}
	return last, len(found) == 1
}
