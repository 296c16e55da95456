package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// askAll asks a node so many questions over all shards, which must be whole but for missing parts.
func (w *world) askAll(one *node, id string, count int, missing string) {
	w.t.Helper()
	for i := range count {
		response, _ := w.ask(one, http.MethodGet, "/all/x", fmt.Sprint(id, i), "")
		require.Equal(w.t, http.StatusOK, response.StatusCode)
		require.Equal(w.t, missing, response.Header.Get("Pistachiopier-Missing-Parts"))
	}
}

// arrivals counts what replicas got.
func arrivals(replicas ...*platformtest.Replica) int {
	count := 0
	for _, one := range replicas {
		count += len(one.Arrivals())
	}
	return count
}

// The operators empty a data centre before they switch it off. Requests that still go there, from nodes
// next to its replicas or from others through these, are lost with it. Once they take it back its
// replicas are to be used again.
func TestAnEvacuatedDataCentreGetsNothing(t *testing.T) {
	w := newWorld(t)
	var east []*platformtest.Replica
	for _, service := range []string{"s1", "s2", "s3"} {
		east = append(east, w.replica(service, "east", "a"))
		w.replica(service, "west", "a")
	}
	w.serve("east", "west")
	w.askAll(w.nodes[0], "before", 3, "0")
	require.NotZero(t, arrivals(east...))

	w.store.Evacuate("east")
	for _, one := range w.nodes {
		w.line(one, "evacuation_in_force")
	}
	before := arrivals(east...)
	for i, one := range w.nodes {
		_, page := w.get("http://"+one.Settings.MetricsAddress+"/metrics", nil)
		require.Contains(t, page, "\npistachiopier_data_centres_evacuated 1\n")
		w.askAll(one, fmt.Sprint("during", i), 10, "0")
	}
	require.Equal(t, before, arrivals(east...))

	w.store.EndEvacuation("east")
	w.line(w.nodes[0], "evacuation_ended")
	w.askAll(w.nodes[0], "after", 3, "0")
	require.Greater(t, arrivals(east...), before)
}

// All replicas of one shard are in an evacuated data centre. The wish binds: the answer says that it
// lacks the part, and a lookup that only these could serve is told at once that it has not run.
func TestAShardThatIsAllEvacuatedIsLeftOutTruthfully(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "west", "b")
	w.replica("s3", "west", "c")
	notes := w.replica("notes", "east", "a note")
	w.serve("west")
	w.store.Evacuate("east")
	w.line(w.nodes[0], "evacuation_in_force")
	w.askAll(w.nodes[0], "r", 3, "1")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "lookup", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Zero(t, notes.Runs("lookup"))
}

// A node that starts during an evacuation, and one that the store turns away, must not be the ones that go on
// sending: the first reads the wish with all else, the second has it from the others. What the store says
// after it has dropped its history holds as well.
func TestAnEvacuationReachesNodesThatTheStoreTurnsAway(t *testing.T) {
	w := newWorld(t)
	east := w.replica("notes", "east", "a note")
	w.replica("notes", "west", "a note")
	w.configure(1)
	w.start("east", "west")
	store, _ := w.cutOff("east")
	w.ready()
	store.SetBoth(faultproxy.Faults{Cut: true})
	w.store.Evacuate("east")
	w.startOne("east", nil)
	for _, one := range w.nodes[2:] {
		w.line(one, "evacuation_in_force")
	}
	before := arrivals(east)
	for i, one := range w.nodes[2:] {
		for j := range 5 {
			response, _ := w.ask(one, http.MethodGet, "/plain/x", fmt.Sprint("r", i, j), "")
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
	require.Equal(t, before, arrivals(east))
	w.store.EndEvacuation("east")
	w.store.DropHistory()
	for _, one := range w.nodes[2:] {
		w.line(one, "evacuation_ended")
	}
}

// Replicas come back cold and crash under the load that they bear when warm. While one of two is cold, the
// other one has nearly all requests; where the cold one is the only one, what it cannot bear is told
// at once that it has not run. Kept back, it would wait for nothing.
func TestAColdReplicaGetsWhatItsServiceStates(t *testing.T) {
	const perSecond, asked = 4, 30
	w := newWorld(t)
	cold := w.replica("notes", "east", "a note")
	warm := w.replica("notes", "east", "a note")
	only := w.replica("invoices", "east", "done")
	for _, one := range []*platformtest.Replica{cold, only} {
		entry := one.Entry("east", platformtest.StateReady)
		entry["warmupLeftMs"] = time.Hour.Milliseconds()
		w.store.Put(one.Key(), entry)
	}
	config := w.config(1)
	for i := range config.Services {
		config.Services[i].WarmupS, config.Services[i].WarmupPerS = 3, perSecond
	}
	w.store.Publish(config)
	w.start("east")
	w.ready()
	began := time.Now()
	refused := 0
	for i := range asked {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		response, _ = w.ask(w.nodes[0], http.MethodPost, "/once/x", fmt.Sprint("o", i), "")
		if response.StatusCode != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Zero(t, only.Runs(fmt.Sprint("o", i)))
			refused++
		}
	}
	seconds := int(time.Since(began)/time.Second) + 1
	require.LessOrEqual(t, len(cold.Arrivals()), perSecond*seconds)
	require.LessOrEqual(t, len(only.Arrivals()), perSecond*seconds)
	require.Equal(t, asked, len(cold.Arrivals())+len(warm.Arrivals()))
	require.Equal(t, asked, refused+len(only.Arrivals()))
}
