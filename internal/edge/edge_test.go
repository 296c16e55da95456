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
	h := newHarness(t)
	notes := h.replica("notes", "east", "a note")
	h.serve("east")
	response, body := h.mustRequest(h.nodes[0], http.MethodPut, "/plain/a%2Fb//c?x=%20&y", "r1", "the body")
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
	h := newHarness(t)
	h.replica("s1", "east", "b", "d", "f")
	h.replica("s2", "east", "a", "f", "c")
	h.serve("east")
	response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, []string{"f", "f", "d"}, strings.Fields(body))
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Split(response.Header.Get("Pistachiopier-Part-Stamps"), ","), 2)
}

// Half of the shards have lost all their replicas. An answer from the others would look like the whole list.
// As nothing was sent, the answer is "not run" with a Retry-After time.
func TestATooThinAnswerIsRefusedWithoutRunning(t *testing.T) {
	h := newHarness(t)
	s1 := h.replica("s1", "east", "b")
	h.serve("east")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Empty(t, s1.Arrivals())
}

// Parts in another data centre are merged by the node there. The answer must be the same as from parts that
// arrive separately.
func TestPartsOfAnotherDataCentreAreMergedThere(t *testing.T) {
	h := newHarness(t)
	h.replica("s1", "east", "a", "h", "c")
	h.replica("s2", "west", "g", "b", "i")
	h.replica("s3", "west", "e", "j", "d")
	h.serve("east", "west")
	for i := range 5 {
		response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, []string{"j", "i", "h"}, strings.Fields(body))
		require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	}
	require.Len(t, h.replicas[1].Arrivals(), 5)
}

// One shard, in the other data centre, holds all of the greatest records, so the excerpt of the helper there
// is too short. The answer must not name the part as included, and the next answers must include it in full.
func TestAnExcerptThatIsTooShortIsNotPassedOffAsThePart(t *testing.T) {
	h := newHarness(t)
	records := func(prefix string) []string {
		var list []string
		for i := range 60 {
			list = append(list, fmt.Sprintf("%s%03d", prefix, i))
		}
		return list
	}
	h.replica("s1", "east", records("a")...)
	h.replica("s2", "west", records("z")...)
	h.replica("s3", "east", records("b")...)
	h.serve("east", "west")
	h.configure(2, route("deep", platformtest.KindIdempotent, gather(50, 0.6, "s1", "s2", "s3")))
	h.waitForVersion(h.nodes[0], 2)
	// A helper without the route sends nothing, and the entry node sends to the replicas itself.
	h.waitForVersion(h.nodes[1], 2)
	response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/deep/x", "r1", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Fields(body), 50)
	require.Equal(t, "b059", strings.Fields(body)[0])
	response, body = h.mustRequest(h.nodes[0], http.MethodGet, "/deep/x", "r2", "")
	require.Equal(t, "0", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Len(t, strings.Fields(body), 50)
	require.Equal(t, "z059", strings.Fields(body)[0])
	h.waitForEvent(h.nodes[0], "excerpt_unused")
}

// A replica runs an invoice and its answer is lost. A second send would count the invoice twice, and "not
// run" would make the caller send it again.
func TestALostAnswerIsNeitherRepeatedNorCalledNotRun(t *testing.T) {
	h := newHarness(t)
	first := h.replica("invoices", "east", "done")
	second := h.replica("invoices", "east", "done")
	for _, replica := range []*platformtest.Replica{first, second} {
		replica.SetBehaviour(always(platformtest.CloseWithoutAnswer))
	}
	h.serve("east")
	for i := range 6 {
		id := fmt.Sprint("r", i)
		response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", id, "total=120")
		runs := map[int]int{http.StatusBadGateway: 1, http.StatusServiceUnavailable: 0}
		wanted, known := runs[response.StatusCode]
		require.True(t, known, "status %d", response.StatusCode)
		require.Equal(t, wanted, first.Runs(id)+second.Runs(id), "status %d", response.StatusCode)
	}
	require.Positive(t, len(first.Arrivals())+len(second.Arrivals()))
}

// Only a whole, signed answer to the request itself may reach a caller as success.
func TestSpoiledAnswersAreNeverSuccess(t *testing.T) {
	for _, act := range []platformtest.Behaviour{platformtest.TruncateBody, platformtest.CloseDelimitedReset, platformtest.NoStamp, platformtest.Garbage, platformtest.CloseWithoutAnswer, platformtest.Fail, platformtest.RefuseAfterRun} {
		h := newHarness(t)
		h.replica("notes", "east", "a note").SetBehaviour(always(act))
		h.serve("east")
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "r1", "")
		require.GreaterOrEqual(t, response.StatusCode, 500, "act %d", act)
		require.NotContains(t, []int{http.StatusServiceUnavailable}, response.StatusCode, "it may have run")
	}
}

func TestARequestThatOneReplicaFailsIsServedByAnother(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Fail))
	h.replica("notes", "east", "a note")
	h.serve("east")
	for i := range 4 {
		response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// All replicas fail every request. Each request may be retried, but within the bound on extra load.
func TestRetriesOfAFailingServiceKeepTheBound(t *testing.T) {
	h := newHarness(t)
	for range 2 {
		h.replica("notes", "east", "a note").SetBehaviour(always(platformtest.Fail))
	}
	h.serve("east")
	const requests = 150
	for i := range requests {
		h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
	}
	arrivals := len(h.replicas[0].Arrivals()) + len(h.replicas[1].Arrivals())
	require.Greater(t, arrivals, requests)
	require.LessOrEqual(t, arrivals, requests+requests/5+50)
}

// An address is reused by a replica of another service. The request names the incarnation it is meant for, so
// the new replica refuses it, which proves that it has not run.
func TestARequestToAnAddressUsedAgainIsTriedElsewhere(t *testing.T) {
	h := newHarness(t)
	other := h.replica("other", "east", "another service")
	h.replica("invoices", "east", "done")
	gone := other.Entry("east", "ready")
	gone["service"] = "invoices"
	h.store.Put("servers/i-gone", gone)
	h.serve("east")
	for i := range 6 {
		response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Zero(t, other.Runs(fmt.Sprint("r", i)))
	}
	require.LessOrEqual(t, len(other.Arrivals()), 1, "each refusal is an extra arrival at another service")
}

// A helper waits for one part when the request is answered without it. The sends delegated to it must not
// count as in flight for ever, or their replicas would look full and be avoided.
func TestSendsThatAHelperNeverEndsAreReleased(t *testing.T) {
	h := newHarness(t)
	h.replica("s1", "east", "a")
	h.replica("s2", "east", "b")
	h.replica("s3", "west", "c").SetBehaviour(always(platformtest.Hang))
	h.serve("east", "west")
	response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", "r1", "")
	require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"))
	require.Eventually(t, func() bool {
		_, state := h.get("http://"+h.nodes[0].Settings.MetricsAddress+"/dump", nil)
		return strings.Contains(state, `"sends_running":0`)
	}, waitLimit, 5*time.Millisecond)
}
