package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

func always(act platformtest.Behaviour) func(platformtest.ReceivedRequest) platformtest.Behaviour {
	return func(platformtest.ReceivedRequest) platformtest.Behaviour { return act }
}

func TestAForwardChangesNothing(t *testing.T) {
	w := newWorld(t)
	notes := w.replica("notes", "east", "a note")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodPut, "/plain/a%2Fb//c?x=%20&y", "r1", "the body")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, fmt.Sprintf("%-16s", "a note"), body)
	require.Equal(t, notes.Stamp("r1"), response.Header.Get("Pistachiopier-Server-Stamp"))
	seen := notes.Arrivals()[0]
	require.Equal(t, "PUT /plain/a%2Fb//c?x=%20&y the body", seen.Method+" "+seen.Target+" "+seen.Body)
	require.Equal(t, "r1", seen.ID)
	require.Equal(t, notes.ID, seen.Header.Get("Pistachiopier-Target-Instance"))
	require.LessOrEqual(t, seen.RemainingTime, 1500*time.Millisecond, "the route's time limit is shorter than the caller's")
}

func TestAGatherGivesTheGreatestRecordsAndItsCoverage(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "b", "d", "f")
	w.replica("s2", "east", "a", "f", "c")
	w.serve("east")
	response, body := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"f", "f", "d"}, strings.Fields(body))
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Split(response.Header.Get("Pistachiopier-Part-Stamps"), ","), 2)
}

// Half of the shards have lost all their replicas. An answer from the others would look
// like the whole list; and as nothing was sent, "not run" with the time to come back is
// the truth.
func TestATooThinAnswerIsRefusedWithoutRunning(t *testing.T) {
	w := newWorld(t)
	s1 := w.replica("s1", "east", "b")
	w.serve("east")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s1.Arrivals())
}

// Two data centres hold the parts. The node in the other one merges its parts before they
// travel; the answer must be the same as from parts that came one by one.
func TestPartsOfAnotherDataCentreAreMergedThere(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a", "h", "c")
	w.replica("s2", "west", "g", "b", "i")
	w.replica("s3", "west", "e", "j", "d")
	w.serve("east", "west")
	for i := range 5 {
		response, body := w.ask(w.nodes[0], http.MethodGet, "/all/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, []string{"j", "i", "h"}, strings.Fields(body))
		require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	}
	require.Len(t, w.replicas[1].Arrivals(), 5)
}

// One shard, in the other data centre, holds all of the greatest records. The node there sends an
// excerpt that is shorter than it should be: the answer must not pass for one that holds the part,
// and the next ones hold it in full.
func TestAnExcerptThatIsTooShortIsNotPassedOffAsThePart(t *testing.T) {
	w := newWorld(t)
	records := func(prefix string) []string {
		var list []string
		for i := range 60 {
			list = append(list, fmt.Sprintf("%s%03d", prefix, i))
		}
		return list
	}
	w.replica("s1", "east", records("a")...)
	w.replica("s2", "west", records("z")...)
	w.replica("s3", "east", records("b")...)
	w.serve("east", "west")
	w.configure(2, route("deep", platformtest.KindIdempotent, gather(50, 0.6, "s1", "s2", "s3")))
	w.inForce(w.nodes[0], 2)
	// A node that does not know the route yet sends nothing on: the entry then asks by itself.
	w.inForce(w.nodes[1], 2)
	response, body := w.ask(w.nodes[0], http.MethodGet, "/deep/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Fields(body), 50)
	require.Equal(t, "b059", strings.Fields(body)[0])
	response, body = w.ask(w.nodes[0], http.MethodGet, "/deep/x", "r2", "")
	require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Fields(body), 50)
	require.Equal(t, "z059", strings.Fields(body)[0])
	w.line(w.nodes[0], "excerpt_unused")
}

// A replica runs an invoice and its answer is lost. A second send would count the invoice
// twice, and "not run" would make the caller send it again.
func TestALostAnswerIsNeitherRepeatedNorCalledNotRun(t *testing.T) {
	w := newWorld(t)
	first := w.replica("invoices", "east", "done")
	second := w.replica("invoices", "east", "done")
	for _, one := range []*platformtest.Replica{first, second} {
		one.SetBehaviour(always(platformtest.CloseWithoutAnswer))
	}
	w.serve("east")
	for i := range 6 {
		id := fmt.Sprint("r", i)
		response, _ := w.ask(w.nodes[0], http.MethodPost, "/once/x", id, "total=120")
		runs := map[int]int{http.StatusBadGateway: 1, http.StatusServiceUnavailable: 0}
		wanted, known := runs[response.StatusCode]
		require.True(t, known, "status %d", response.StatusCode)
		require.Equal(t, wanted, first.Runs(id)+second.Runs(id), "status %d", response.StatusCode)
	}
	require.Positive(t, len(first.Arrivals())+len(second.Arrivals()))
}

// Whatever replicas send that is not a whole, signed answer to the request itself must not
// reach a caller as success.
func TestSpoiledAnswersAreNeverSuccess(t *testing.T) {
	for _, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset, platformtest.NoStamp, platformtest.Garbage, platformtest.CloseWithoutAnswer, platformtest.Fail, platformtest.RefuseAfterRun} {
		w := newWorld(t)
		w.replica("notes", "east", "a note").SetBehaviour(always(act))
		w.serve("east")
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", "r1", "")
		require.GreaterOrEqual(t, response.StatusCode, 500, "act %d", act)
		require.NotContains(t, []int{http.StatusServiceUnavailable}, response.StatusCode, "it may have run")
	}
}

func TestARequestThatOneReplicaFailsIsServedByAnother(t *testing.T) {
	w := newWorld(t)
	w.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Fail))
	w.replica("notes", "east", "a note")
	w.serve("east")
	for i := range 4 {
		response, _ := w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// All replicas fail everything. Each request may be tried again, but the replicas must not
// get a multiple of their load for it.
func TestRetriesOfAFailingServiceKeepTheBound(t *testing.T) {
	w := newWorld(t)
	for range 2 {
		w.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Fail))
	}
	w.serve("east")
	const requests = 150
	for i := range requests {
		w.ask(w.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
	}
	arrivals := len(w.replicas[0].Arrivals()) + len(w.replicas[1].Arrivals())
	require.Greater(t, arrivals, requests)
	require.LessOrEqual(t, arrivals, requests+requests/5+50)
}

// An address is given to a replica of another service. The request names the incarnation
// that it means, the new one refuses it, and that is a proof that it has not run.
func TestARequestToAnAddressUsedAgainIsTriedElsewhere(t *testing.T) {
	w := newWorld(t)
	other := w.replica("other", "east", "another service")
	w.replica("invoices", "east", "done")
	gone := other.Entry("east", "ready")
	gone["service"] = "invoices"
	w.store.Put("servers/i-gone", gone)
	w.serve("east")
	for i := range 6 {
		response, _ := w.ask(w.nodes[0], http.MethodPost, "/once/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Zero(t, other.Runs(fmt.Sprint("r", i)))
	}
	require.LessOrEqual(t, len(other.Arrivals()), 1, "each refusal is an arrival at a service that nobody asked for")
}

// A helper hangs on one part and the answer is given without it. The sends that it was asked
// for must not count as running for ever: their replicas would look full and be avoided.
func TestSendsThatAHelperNeverEndsAreForgotten(t *testing.T) {
	w := newWorld(t)
	w.replica("s1", "east", "a")
	w.replica("s2", "east", "b")
	w.replica("s3", "west", "c").SetBehaviour(always(platformtest.Hang))
	w.serve("east", "west")
	response, _ := w.ask(w.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Eventually(t, func() bool {
		_, state := w.get("http://"+w.nodes[0].Settings.MetricsAddress+"/dump", nil)
		return strings.Contains(state, `"sends_running":0`)
	}, patience, 5*time.Millisecond)
}
