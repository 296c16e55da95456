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

// away makes the store reset every call, as it does before it comes back from a copy.
func (w *world) away() {
	w.store.SetFault(func(string) platformtest.StoreFault { return platformtest.Reset })
}

// back ends the store's trouble.
func (w *world) back() { w.store.SetFault(nil) }

// restore takes the store away, puts it back to a copy and returns what is lost.
func (w *world) restore(from *platformtest.Backup) []platformtest.LostWrite {
	w.away()
	return w.store.Restore(from)
}

// moved is a configuration whose plain route goes to another service.
func (w *world) moved(version uint64, service string) platformtest.Config {
	config := w.config(version)
	config.Routes[0].Service = service
	config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 26})
	return config
}

// Callers were served as a former configuration says for up to 18 s after a newer one was acknowledged, and three
// were never in force. The store had come back from a copy some seconds old and gave its revisions
// out again. Nodes took items by rising revision only: what came under a revision that they had
// passed was thrown away, and the next watch began behind it. Revisions order one era of the store, no more.
func TestAChangeAfterTheStoreCameBackFromACopyIsInForce(t *testing.T) {
	for name, passed := range map[string]bool{"revisions still lower": false, "revisions passed unseen": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.replica("notes", "east", "a note")
			w.replica("letters", "west", "a letter")
			w.serve("east", "east", "west")
			backup := w.store.Backup()
			for version := uint64(2); version <= 9; version++ {
				w.configure(version)
			}
			reached := w.store.Revision()
			for _, one := range w.nodes {
				w.inForce(one, 9)
			}
			for _, lost := range w.restore(backup) {
				w.store.RewriteLost(lost)
				if w.store.Revision() == reached-1 {
					break
				}
			}
			w.store.Publish(w.moved(12, "letters"))
			if passed {
				for w.store.Revision() <= reached {
					w.store.Evacuate("nowhere")
				}
			}
			w.back()
			for _, one := range w.nodes {
				w.inForce(one, 12)
				response, body := w.ask(one, http.MethodGet, "/plain/x", "r1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Contains(t, body, "a letter")
			}
		})
	}
}

// versions lists the versions that a node put in force, in their order.
func (w *world) versions(one *node) (versions []int) {
	for line := range strings.Lines(one.log.String()) {
		if _, after, found := strings.Cut(line, `"version":`); found && strings.Contains(line, `"config_in_force"`) {
			version, err := strconv.Atoi(after[:strings.IndexAny(after, ",}")])
			require.NoError(w.t, err)
			versions = append(versions, version)
		}
	}
	return versions
}

// inEra waits until a node's copy is of an era.
func (w *world) inEra(one *node, era uint64) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		_, page := w.get("http://"+one.Settings.MetricsAddress+"/metrics", nil)
		return strings.Contains(page, fmt.Sprintf("\npistachiopier_store_era %d\n", era))
	}, patience, 5*time.Millisecond, "era %d at %s", era, one.Settings.Node)
}

// A store that came back from a copy shows an older configuration and the operator's is written again late, or never. Callers
// have seen the older one replaced: no node goes back to it, one that starts meanwhile has the
// newer one from the others, and one that the store turns away goes over with them.
func TestNoNodeGoesBackToAnOlderConfigurationAfterARestore(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.replica("letters", "west", "a letter")
	w.configure(1)
	w.start("east", "west")
	store, _ := w.cutOff("east")
	w.ready()
	backup := w.store.Backup()
	w.store.Publish(w.moved(4, "letters"))
	for _, one := range w.nodes {
		w.inForce(one, 4)
	}
	store.SetBoth(faultproxy.Faults{Cut: true})
	lost := w.restore(backup)
	w.back()
	for _, one := range w.nodes {
		w.inEra(one, 2)
	}
	w.line(w.nodes[0], "config_outdated")
	w.startOne("west", nil)
	w.inForce(w.nodes[3], 4)
	requests := 0
	letters := func() {
		t.Helper()
		for _, one := range w.nodes {
			requests++
			response, body := w.ask(one, http.MethodGet, "/plain/x", fmt.Sprint("r", requests), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Contains(t, body, "a letter")
		}
	}
	letters()
	store.SetBoth(faultproxy.Faults{})
	for _, one := range lost {
		w.store.RewriteLost(one)
	}
	letters()
	w.configure(7)
	for _, one := range w.nodes {
		w.inForce(one, 7)
		require.IsNonDecreasing(t, w.versions(one))
	}
	_, dump := w.get("http://"+w.nodes[0].Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"store_era":2`)
}

// All nodes start again while the store shows an older configuration. Nobody knows better; once the operator has
// written the newer one again it is in force at all of them.
func TestNodesThatAllStartAfterARestoreTakeWhatIsWrittenAgain(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.configure(1)
	backup := w.store.Backup()
	w.configure(4)
	lost := w.restore(backup)
	w.back()
	w.start("east", "west", "east")
	w.ready()
	for _, one := range w.nodes {
		w.inForce(one, 1)
	}
	for _, one := range lost {
		w.store.RewriteLost(one)
	}
	for _, one := range w.nodes {
		w.inForce(one, 4)
	}
}

// Within the seconds that a store loses, one replica is added, one drains, and one leaves for good. The store lists none of it
// when it is back. The new one goes on serving, and is gone if it does not report again; the one that drains gets nothing
// although it is listed as ready, nor does the one that left although it is listed again.
func TestReplicasOfTheLostSecondsAreNeitherDroppedNorTakenBack(t *testing.T) {
	w := newWorld(t)
	draining, left := w.replica("notes", "east", "a note"), w.replica("notes", "east", "a note")
	w.serve("east", "east", "west")
	backup := w.store.Backup()
	added := w.replica("notes", "east", "a note")
	silent := w.replica("invoices", "east", "done")
	w.store.Put(draining.Key(), draining.Entry("east", platformtest.StateDraining))
	w.store.Remove(left.Key())
	for _, one := range w.nodes {
		for _, event := range []string{`"replica":"` + silent.ID, "replica_draining", "replica_gone"} {
			require.Eventually(t, func() bool { return strings.Contains(one.log.String(), event) }, patience, time.Millisecond)
		}
	}
	before := arrivals(draining, left)
	w.restore(backup)
	w.back()
	for i, one := range w.nodes {
		w.inEra(one, 2)
		w.line(one, "replica_doubted")
		w.line(one, "replica_lapsed")
		w.line(one, "replica_report_outdated")
		for j := range 5 {
			response, _ := w.ask(one, http.MethodGet, "/plain/x", fmt.Sprint("r", i, j), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
	w.store.Put(added.Key(), added.Entry("east", platformtest.StateReady))
	require.Eventually(t, func() bool {
		response, _ := w.ask(w.nodes[0], http.MethodPost, "/once/x", "o", "")
		return response.StatusCode == http.StatusServiceUnavailable
	}, patience, 10*time.Millisecond, "an entry that is not written again is gone")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "after", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, before, arrivals(draining, left))
	w.store.Put(left.Key(), left.Entry("east", platformtest.StateReady))
	w.store.Remove(added.Key())
	require.Eventually(t, func() bool {
		_, _ = w.ask(w.nodes[0], http.MethodGet, "/plain/x", "reported", "")
		return arrivals(left) > 0
	}, patience, 10*time.Millisecond, "a newer report tells that it lives")
}

// The operators evacuate a data centre within the seconds that the store loses. Its replicas get nothing until the wish is
// written again; one that is not ends. A wish that had ended and is back binds until it is taken back.
func TestEvacuationsOfTheLostSecondsBindUntilTheyAreWrittenAgain(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			east := w.replica("notes", "east", "a note")
			w.replica("notes", "west", "a note")
			w.serve("east", "east", "west")
			backup := w.store.Backup()
			w.store.Evacuate("east")
			for _, one := range w.nodes {
				w.line(one, "evacuation_in_force")
			}
			before := arrivals(east)
			lost := w.restore(backup)
			w.back()
			requests := 0
			asked := func() {
				t.Helper()
				for _, one := range w.nodes {
					requests++
					response, _ := w.ask(one, http.MethodGet, "/plain/x", fmt.Sprint("r", requests), "")
					require.Equal(t, http.StatusOK, response.StatusCode)
				}
				require.Equal(t, before, arrivals(east))
			}
			for _, one := range w.nodes {
				w.line(one, "evacuation_lapsed")
			}
			asked()
			if again {
				for _, one := range lost {
					w.store.RewriteLost(one)
				}
				w.configure(2)
				w.inForce(w.nodes[0], 2)
				asked()
				during := w.store.Backup()
				w.store.EndEvacuation("east")
				w.line(w.nodes[0], "evacuation_ended")
				w.restore(during)
				w.back()
				for _, one := range w.nodes {
					w.inEra(one, 3)
				}
				before = arrivals(east)
				asked()
				w.store.EndEvacuation("east")
			}
			for _, one := range w.nodes {
				w.line(one, "evacuation_ended")
			}
			require.Eventually(t, func() bool {
				_, _ = w.ask(w.nodes[0], http.MethodGet, "/plain/x", "after", "")
				return arrivals(east) > before
			}, patience, 10*time.Millisecond)
		})
	}
}

// Some nodes go over to the new era, others are parted from them and the store and stay in the former one. Once the
// partition heals they exchange copies in both directions: what was changed meanwhile is in force everywhere.
func TestADrillBesideAPartition(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.configure(1)
	w.start("east", "west")
	store, links := w.cutOff("east")
	w.ready()
	backup := w.store.Backup()
	w.configure(4)
	for _, one := range w.nodes {
		w.inForce(one, 4)
	}
	store.SetBoth(faultproxy.Faults{Cut: true})
	links.SetBoth(faultproxy.Faults{Cut: true})
	lost := w.restore(backup)
	w.store.RewriteLost(lost[0])
	w.configure(6)
	w.back()
	for _, one := range w.nodes[:2] {
		w.inForce(one, 6)
	}
	links.SetBoth(faultproxy.Faults{})
	w.inForce(w.nodes[2], 6)
	w.inEra(w.nodes[2], 2)
	store.SetBoth(faultproxy.Faults{})
	w.configure(8)
	for _, one := range w.nodes {
		w.inForce(one, 8)
		require.IsNonDecreasing(t, w.versions(one))
	}
}

// The store names no era for a while, or one that is no number. It is told in the log, nothing is taken back, and
// what comes under higher revisions is in force as before.
func TestAStoreWhoseEraCannotBeReadIsServedAsBefore(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note")
	w.store.SetEraHeader(func(uint64) string { return "" })
	w.serve("east", "east", "west")
	w.configure(2)
	for _, one := range w.nodes {
		w.inForce(one, 2)
		w.inEra(one, 0)
	}
	w.store.SetEraHeader(nil)
	for _, one := range w.nodes {
		w.inEra(one, 1)
		w.line(one, "store_era_changed")
	}
	w.store.SetEraHeader(func(uint64) string { return "seven" })
	w.configure(3)
	told := false
	for _, one := range w.nodes {
		w.inForce(one, 3)
		w.inEra(one, 1)
		told = told || strings.Contains(one.log.String(), "store_era_untold")
	}
	require.True(t, told)
}
