package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// failStore makes the store reset every call, as it does before it is restored from a backup.
func (h *harness) failStore() {
	h.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Reset })
}

// recoverStore ends the failure of the store.
func (h *harness) recoverStore() { h.store.SetFault(nil) }

// restoreStore fails the store, restores it from a backup and returns the writes that are lost.
func (h *harness) restoreStore(from *platformtest.Backup) []platformtest.LostWrite {
	h.failStore()
	return h.store.Restore(from)
}

// configWithService returns a configuration whose plain route goes to another service.
func (h *harness) configWithService(version uint64, service string) platformtest.Config {
	config := h.config(version)
	config.Routes[0].Service = service
	config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 26})
	return config
}

// Guards against ignoring changes after the store was restored from a backup some seconds old and issued its
// revisions again. Callers were served by a former configuration for up to 18 s after a newer one was
// acknowledged, and three were never in force: nodes applied items by rising revision only, so they dropped
// items with revisions that they had passed, and the next watch began after these. Revisions are ordered
// within one era of the store only.
func TestAChangeAfterTheStoreCameBackFromACopyIsInForce(t *testing.T) {
	for name, passed := range map[string]bool{"revisions still lower": false, "revisions passed unseen": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.replica("notes", "east", "a note")
			h.replica("letters", "west", "a letter")
			h.serve("east", "east", "west")
			backup := h.store.Backup()
			for version := uint64(2); version <= 9; version++ {
				h.configure(version)
			}
			reached := h.store.Revision()
			for _, node := range h.nodes {
				h.waitForVersion(node, 9)
			}
			for _, lost := range h.restoreStore(backup) {
				h.store.RewriteLost(lost)
				if h.store.Revision() == reached-1 {
					break
				}
			}
			h.store.Publish(h.configWithService(12, "letters"))
			if passed {
				for h.store.Revision() <= reached {
					h.store.Evacuate("nowhere")
				}
			}
			h.recoverStore()
			for _, node := range h.nodes {
				h.waitForVersion(node, 12)
				response, body := h.mustRequest(node, http.MethodGet, "/plain/x", "r1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Contains(t, body, "a letter")
			}
		})
	}
}

// versionsInForce lists the versions that a node put in force, in order.
func (h *harness) versionsInForce(node *node) (versions []int) {
	for line := range strings.Lines(node.log.String()) {
		if _, after, found := strings.Cut(line, `"version":`); found && strings.Contains(line, `"config_in_force"`) {
			version, err := strconv.Atoi(after[:strings.IndexAny(after, ",}")])
			require.NoError(h.t, err)
			versions = append(versions, version)
		}
	}
	return versions
}

// waitForEra waits until a node's copy of the store has reached an era.
func (h *harness) waitForEra(node *node, era uint64) {
	h.t.Helper()
	h.waitForMetric(node, "pistachiopier_store_era", era)
}

// A restored store returns an older configuration, and the operators write the current one again late or
// never. Callers have seen the older one replaced, so no node may go back to it: a node that starts meanwhile
// gets the newer one from the others, and a node that the store refuses moves to the new era with them.
func TestNoNodeGoesBackToAnOlderConfigurationAfterARestore(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.replica("letters", "west", "a letter")
	h.configure(1)
	h.start("east", "west")
	store, _ := h.startBehindProxies("east")
	h.waitReady()
	backup := h.store.Backup()
	h.store.Publish(h.configWithService(4, "letters"))
	for _, node := range h.nodes {
		h.waitForVersion(node, 4)
	}
	store.SetBoth(faultproxy.Faults{Blocked: true})
	lost := h.restoreStore(backup)
	h.recoverStore()
	for _, node := range h.nodes {
		h.waitForEra(node, 2)
	}
	h.waitForEvent(h.nodes[0], "config_outdated")
	h.startOne("west", nil)
	h.waitForVersion(h.nodes[3], 4)
	requests := 0
	letters := func() {
		t.Helper()
		for _, node := range h.nodes {
			requests++
			response, body := h.mustRequest(node, http.MethodGet, "/plain/x", fmt.Sprint("r", requests), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Contains(t, body, "a letter")
		}
	}
	letters()
	store.SetBoth(faultproxy.Faults{})
	for _, write := range lost {
		h.store.RewriteLost(write)
	}
	letters()
	h.configure(7)
	for _, node := range h.nodes {
		h.waitForVersion(node, 7)
		require.IsNonDecreasing(t, h.versionsInForce(node))
	}
	_, dump := h.get("http://"+h.nodes[0].Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"store_era":2`)
}

// All nodes restart while the store returns an older configuration, so none knows the newer one. Once the
// operators have written it again, all nodes put it in force.
func TestNodesThatAllStartAfterARestoreTakeWhatIsWrittenAgain(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.configure(1)
	backup := h.store.Backup()
	h.configure(4)
	lost := h.restoreStore(backup)
	h.recoverStore()
	h.start("east", "west", "east")
	h.waitReady()
	for _, node := range h.nodes {
		h.waitForVersion(node, 1)
	}
	for _, write := range lost {
		h.store.RewriteLost(write)
	}
	for _, node := range h.nodes {
		h.waitForVersion(node, 4)
	}
}

// Within the seconds that a store loses, one replica is added, one starts to drain, and one leaves for good.
// The restored store lists none of this. The new replica keeps serving, and is removed if it does not report
// again; the draining replica gets no requests although it is listed as ready, nor does the replica that left
// although it is listed again.
func TestReplicasOfTheLostSecondsAreNeitherDroppedNorTakenBack(t *testing.T) {
	h := newHarness(t)
	draining, left := h.replica("notes", "east", "a note"), h.replica("notes", "east", "a note")
	h.serve("east", "east", "west")
	backup := h.store.Backup()
	added := h.replica("notes", "east", "a note")
	silent := h.replica("invoices", "east", "done")
	h.store.Put(draining.Key(), draining.Entry("east", platformtest.StateDraining))
	h.store.Remove(left.Key())
	for _, node := range h.nodes {
		for _, event := range []string{`"replica":"` + silent.ID, "replica_draining", "replica_gone"} {
			require.Eventually(t, func() bool { return strings.Contains(node.log.String(), event) }, waitLimit, time.Millisecond)
		}
	}
	before := arrivals(draining, left)
	h.restoreStore(backup)
	h.recoverStore()
	for i, node := range h.nodes {
		h.waitForEra(node, 2)
		h.waitForEvent(node, "replica_doubted")
		h.waitForEvent(node, "replica_lapsed")
		h.waitForEvent(node, "replica_report_outdated")
		for j := range 5 {
			response, _ := h.mustRequest(node, http.MethodGet, "/plain/x", fmt.Sprint("r", i, j), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
	h.store.Put(added.Key(), added.Entry("east", platformtest.StateReady))
	require.Eventually(t, func() bool {
		response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "o", "")
		return response.StatusCode == http.StatusServiceUnavailable
	}, waitLimit, 10*time.Millisecond, "an entry that is not written again is removed")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "after", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, before, arrivals(draining, left))
	h.store.Put(left.Key(), left.Entry("east", platformtest.StateReady))
	h.store.Remove(added.Key())
	require.Eventually(t, func() bool {
		_, _ = h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "reported", "")
		return arrivals(left) > 0
	}, waitLimit, 10*time.Millisecond, "a newer report proves that it is alive")
}

// The operators evacuate a data centre within the seconds that the store loses. Its replicas get nothing
// until the evacuation is written again; an evacuation that is not written again ends. One that had ended and
// is present again applies until it is ended again.
func TestEvacuationsOfTheLostSecondsBindUntilTheyAreWrittenAgain(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			east := h.replica("notes", "east", "a note")
			h.replica("notes", "west", "a note")
			h.serve("east", "east", "west")
			backup := h.store.Backup()
			h.store.Evacuate("east")
			for _, node := range h.nodes {
				h.waitForEvent(node, "evacuation_in_force")
			}
			before := arrivals(east)
			lost := h.restoreStore(backup)
			h.recoverStore()
			requests := 0
			requireNothingSentEast := func() {
				t.Helper()
				for _, node := range h.nodes {
					requests++
					response, _ := h.mustRequest(node, http.MethodGet, "/plain/x", fmt.Sprint("r", requests), "")
					require.Equal(t, http.StatusOK, response.StatusCode)
				}
				require.Equal(t, before, arrivals(east))
			}
			for _, node := range h.nodes {
				h.waitForEvent(node, "evacuation_lapsed")
			}
			requireNothingSentEast()
			if again {
				for _, write := range lost {
					h.store.RewriteLost(write)
				}
				h.configure(2)
				h.waitForVersion(h.nodes[0], 2)
				requireNothingSentEast()
				during := h.store.Backup()
				h.store.EndEvacuation("east")
				h.waitForEvent(h.nodes[0], "evacuation_ended")
				h.restoreStore(during)
				h.recoverStore()
				for _, node := range h.nodes {
					h.waitForEra(node, 3)
				}
				before = arrivals(east)
				requireNothingSentEast()
				h.store.EndEvacuation("east")
			}
			for _, node := range h.nodes {
				h.waitForEvent(node, "evacuation_ended")
			}
			require.Eventually(t, func() bool {
				_, _ = h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "after", "")
				return arrivals(east) > before
			}, waitLimit, 10*time.Millisecond)
		})
	}
}

// Some nodes move to the new era while others are partitioned from them and the store and stay in the former
// one. After the partition they exchange copies in both directions, and the changes made meanwhile are in
// force everywhere.
func TestADrillBesideAPartition(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.configure(1)
	h.start("east", "west")
	store, links := h.startBehindProxies("east")
	h.waitReady()
	backup := h.store.Backup()
	h.configure(4)
	for _, node := range h.nodes {
		h.waitForVersion(node, 4)
	}
	store.SetBoth(faultproxy.Faults{Blocked: true})
	links.SetBoth(faultproxy.Faults{Blocked: true})
	lost := h.restoreStore(backup)
	h.store.RewriteLost(lost[0])
	h.configure(6)
	h.recoverStore()
	for _, node := range h.nodes[:2] {
		h.waitForVersion(node, 6)
	}
	links.SetBoth(faultproxy.Faults{})
	h.waitForVersion(h.nodes[2], 6)
	h.waitForEra(h.nodes[2], 2)
	store.SetBoth(faultproxy.Faults{})
	h.configure(8)
	for _, node := range h.nodes {
		h.waitForVersion(node, 8)
		require.IsNonDecreasing(t, h.versionsInForce(node))
	}
}

// The store returns no era for a while, or an era that is not a number. This is logged, no change is undone, and
// items with higher revisions are applied as before.
func TestAStoreWhoseEraCannotBeReadIsServedAsBefore(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.store.SetEraHeader(func(uint64) string { return "" })
	h.serve("east", "east", "west")
	h.configure(2)
	for _, node := range h.nodes {
		h.waitForVersion(node, 2)
		h.waitForEra(node, 0)
	}
	h.store.SetEraHeader(nil)
	for _, node := range h.nodes {
		h.waitForEra(node, 1)
		h.waitForEvent(node, "store_era_changed")
	}
	h.store.SetEraHeader(func(uint64) string { return "seven" })
	h.configure(3)
	logged := false
	for _, node := range h.nodes {
		h.waitForVersion(node, 3)
		h.waitForEra(node, 1)
		logged = logged || strings.Contains(node.log.String(), "store_era_untold")
	}
	require.True(t, logged)
}
