package edge_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Guards against a request that ends each replica that begins to run it. Such a request went to one replica
// of every shard at once and, where these ended, to the second one; its caller sent it again under a new id
// through another node. All replicas of a service ended within 0.1 s, were back after 3 s and ended again: 13
// times in a day, no query over all shards was answered for seconds.
//
// The cause was that each attempt was judged by itself: nothing that a node learned of a request outlived the
// attempt, and nodes exchanged nothing about requests. In these tests the same request reaches replicas at
// every attempt, with no other load.

// maxLateAttempts is the number of attempts that may still reach replicas once a request has ended
// endsUntilSetAside of them.
const (
	endsUntilSetAside = 3
	maxLateAttempts   = 3
)

// newDeadlyHarness starts two replicas of each service, in two data centres, and two nodes in one of these
// and one in the other. Requests for which deadly returns true end the replica that begins to run them.
func newDeadlyHarness(t *testing.T, deadly func(platformtest.ReceivedRequest) bool) *harness {
	t.Helper()
	h := newHarness(t)
	for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		for _, dataCentre := range []string{"east", "west"} {
			h.replica(service, dataCentre, service).SetCrashOn(deadly)
		}
	}
	h.serve("east", "west", "east")
	return h
}

// deadlyRequest is one attempt of the deadly request.
type deadlyRequest struct {
	method, target, body string
	// from is the source address.
	from string
}

// sendAttempts sends attempts of the deadly request to the nodes in turn, after all replicas are back each
// time. It returns, for each attempt that a replica began to run, how many replicas had ended before.
func (h *harness) sendAttempts(count int, requestFor func(i int) deadlyRequest) (endedBefore []int) {
	h.t.Helper()
	ended := 0
	for i := range count {
		h.reviveReplicas()
		id := fmt.Sprintf("deadly-%d", i)
		h.sendDeadly(h.nodes[i%len(h.nodes)], requestFor(i), id)
		started, endedCount := false, 0
		require.Eventually(h.t, func() bool {
			started, endedCount = h.executed(id)
			return !started || endedCount > 0
		}, waitLimit, time.Millisecond, "the request ends each replica that begins to run it")
		if started {
			endedBefore = append(endedBefore, ended)
		}
		ended += endedCount
	}
	return endedBefore
}

// sendDeadly sends one attempt and returns its status, or 0 if there was no answer.
func (h *harness) sendDeadly(node *node, attempt deadlyRequest, id string) int {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.t.Context(), attempt.method, "http://"+node.Settings.CallerAddress+attempt.target, strings.NewReader(attempt.body))
	require.NoError(h.t, err)
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "2000")
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(attempt.from)}}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// executed reports whether any replica began to run a request, and how many replicas have ended. A send to a
// former incarnation is not run.
func (h *harness) executed(id string) (started bool, endedCount int) {
	for _, replica := range h.fleet.Replicas {
		started = started || replica.Runs(id) > 0
		if replica.Crashed() {
			endedCount++
		}
	}
	return started, endedCount
}

// reviveReplicas restarts the replicas that have ended and waits until each node returns whole answers.
func (h *harness) reviveReplicas() {
	h.t.Helper()
	_, err := h.fleet.RestartCrashed()
	require.NoError(h.t, err)
	h.awaitInnocentAnswers()
}

// awaitInnocentAnswers waits until each node returns whole answers on each route.
func (h *harness) awaitInnocentAnswers() {
	h.t.Helper()
	for _, node := range h.nodes {
		for _, target := range []string{"/all/innocent", "/plain/innocent", "/once/innocent"} {
			require.Eventually(h.t, func() bool {
				response, _, err := h.request(node, http.MethodGet, target, fmt.Sprint("innocent-", time.Now().UnixNano()), "")
				return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Pistachiopier-Missing-Parts") != "1"
			}, waitLimit, time.Millisecond, "harmless requests are answered")
		}
	}
}

// requireFewLateAttempts requires that few attempts reached replicas after the request had ended
// endsUntilSetAside of them.
func requireFewLateAttempts(t *testing.T, endedBefore []int) {
	t.Helper()
	lateAttempts := 0
	for _, ended := range endedBefore {
		if ended >= endsUntilSetAside {
			lateAttempts++
		}
	}
	require.LessOrEqual(t, lateAttempts, maxLateAttempts, "attempts that replicas began to run after it had ended three")
}

func repeat(r deadlyRequest) func(int) deadlyRequest { return func(int) deadlyRequest { return r } }

// Guards against sending a deadly request again on each kind of route, also from another address or with
// another query.
func TestARequestThatEndsReplicasIsSetAside(t *testing.T) {
	const here = "127.0.0.1"
	for name, requestFor := range map[string]func(int) deadlyRequest{
		"gathered":           repeat(deadlyRequest{http.MethodGet, "/all/deadly?q=1", "", here}),
		"plain":              repeat(deadlyRequest{http.MethodGet, "/plain/deadly", "", here}),
		"not to be repeated": repeat(deadlyRequest{http.MethodPost, "/once/x", "deadly", here}),
		"from several addresses": func(i int) deadlyRequest {
			return deadlyRequest{http.MethodGet, "/all/deadly", "", fmt.Sprintf("127.0.0.%d", i+1)}
		},
		"with several queries": func(i int) deadlyRequest {
			return deadlyRequest{http.MethodGet, fmt.Sprintf("/all/deadly?page=%d", i), "", here}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newDeadlyHarness(t, func(seen platformtest.ReceivedRequest) bool {
				return strings.Contains(seen.Target, "deadly") || seen.Body == "deadly"
			})
			requireFewLateAttempts(t, h.sendAttempts(12, requestFor))
		})
	}
}

// Guards against refusing a harmless request of the same caller that differs from a deadly one only in its
// body.
func TestTheBodyAloneTellsTwoRequestsApart(t *testing.T) {
	h := newDeadlyHarness(t, func(seen platformtest.ReceivedRequest) bool { return seen.Body == "deadly" })
	requestFor := repeat(deadlyRequest{http.MethodPost, "/all/x", "deadly", "127.0.0.1"})
	requireFewLateAttempts(t, h.sendAttempts(6, requestFor))
	h.reviveReplicas()
	for i, node := range h.nodes {
		require.Equal(t, http.StatusServiceUnavailable, h.sendDeadly(node, requestFor(0), fmt.Sprint("again-", i)))
		require.Equal(t, http.StatusOK, h.sendDeadly(node, deadlyRequest{http.MethodPost, "/all/x", "harmless", "127.0.0.1"}, fmt.Sprint("other-", i)))
	}
}

// Guards against a node that joins later, has received nothing about the request at its start and sends it to
// all shards.
func TestANodeThatJoinsLaterKnowsWhatIsSetAside(t *testing.T) {
	h := newDeadlyHarness(t, func(seen platformtest.ReceivedRequest) bool { return seen.Target == "/all/deadly" })
	attempt := deadlyRequest{http.MethodGet, "/all/deadly", "", "127.0.0.1"}
	h.sendAttempts(4, repeat(attempt))
	h.startOne("west", nil)
	h.waitReady()
	h.reviveReplicas()
	late := h.nodes[len(h.nodes)-1]
	h.waitForEvent(late, "request_set_aside")
	require.Equal(t, http.StatusServiceUnavailable, h.sendDeadly(late, attempt, "late"))
	started, _ := h.executed("late")
	require.False(t, started)
}

// quarantined is the entry of a request in a node's dump.
type quarantined struct {
	Ended int `json:"replicas_ended"`
}

// awaitEnded waits until a node knows of the given number of replicas that ended under one request.
func (h *harness) awaitEnded(node *node, ended int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		_, body := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
		var state struct {
			Quarantine []quarantined `json:"quarantine"`
		}
		require.NoError(h.t, json.Unmarshal([]byte(body), &state))
		return slices.ContainsFunc(state.Quarantine, func(known quarantined) bool { return known.Ended >= ended })
	}, waitLimit, time.Millisecond, "the node knows of %d replicas that ended", ended)
}

// Guards against ignoring ends that only a helper saw. All replicas of two shards are in the other data
// centre, and the node there sends to them. The ends that it sees at the first attempt and those that the
// entry node sees at its trials add up: the third attempt is rejected.
func TestTheEndsThatAHelperSawCount(t *testing.T) {
	h := newHarness(t)
	for service, dataCentre := range map[string]string{"notes": "east", "invoices": "east", "s1": "east", "s2": "west", "s3": "west"} {
		for range 2 {
			h.replica(service, dataCentre, service).SetCrashOn(func(seen platformtest.ReceivedRequest) bool { return seen.Target == "/far/deadly" })
		}
	}
	h.configure(1, route("far", platformtest.KindIdempotent, gather(3, 0.5, "s2", "s3")))
	h.start("east", "west")
	h.waitReady()
	attempt := deadlyRequest{http.MethodGet, "/far/deadly", "", "127.0.0.1"}
	for i := range 2 {
		h.reviveReplicas()
		h.sendDeadly(h.nodes[0], attempt, fmt.Sprint("deadly-", i))
		// The first attempt ends one replica of each shard and one more.
		h.awaitEnded(h.nodes[0], 3+i)
	}
	h.waitForEvent(h.nodes[0], "request_set_aside")
	h.reviveReplicas()
	require.Equal(t, http.StatusServiceUnavailable, h.sendDeadly(h.nodes[0], attempt, "third"))
	started, _ := h.executed("third")
	require.False(t, started)
}

// Guards against rejecting a harmless, popular query that is in flight when all replicas of the nearest data
// centre crash at once. Its next attempts must be answered.
func TestAQuestionInWorkAtACrashOfADataCentreIsServedOn(t *testing.T) {
	h := newDeadlyHarness(t, func(platformtest.ReceivedRequest) bool { return false })
	for range 3 {
		for i, replica := range h.fleet.Replicas {
			if i%2 == 0 {
				replica.SetBehaviour(func(seen platformtest.ReceivedRequest) platformtest.Behaviour {
					if strings.HasSuffix(seen.Target, "/popular") {
						return platformtest.Crash
					}
					return platformtest.Answer
				})
			}
		}
		h.sendDeadly(h.nodes[0], deadlyRequest{http.MethodGet, "/all/popular", "", "127.0.0.1"}, fmt.Sprint("popular-", time.Now().UnixNano()))
		for _, replica := range h.fleet.Replicas {
			replica.SetBehaviour(always(platformtest.Answer))
		}
		h.reviveReplicas()
		for i, node := range h.nodes {
			require.Equal(t, http.StatusOK, h.sendDeadly(node, deadlyRequest{http.MethodGet, "/all/popular", "", "127.0.0.1"}, fmt.Sprint("served-", i, time.Now().UnixNano())))
		}
	}
}

// Guards against answers of other shards keeping a request from being set aside at the shard whose replicas it ends. Once
// set aside there, it is answered without that shard.
func TestARequestThatEndsOneShardsReplicasIsAnsweredWithoutIt(t *testing.T) {
	h := newHarness(t)
	for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		for _, dataCentre := range []string{"east", "west", "east"} {
			replica := h.replica(service, dataCentre, service)
			if service == "s2" {
				replica.SetCrashOn(func(seen platformtest.ReceivedRequest) bool { return strings.Contains(seen.Target, "deadly") })
			}
		}
	}
	h.serve("east", "west", "east")
	attempt := deadlyRequest{http.MethodGet, "/all/deadly", "", "127.0.0.1"}
	ended, late, status := 0, 0, 0
	for i := range 12 {
		h.reviveReplicas()
		before := ended
		status = h.sendDeadly(h.nodes[i%len(h.nodes)], attempt, fmt.Sprint("deadly-", i))
		for _, replica := range h.fleet.Replicas {
			if replica.Crashed() {
				ended++
			}
		}
		if before >= endsUntilSetAside && ended > before {
			late++
		}
	}
	require.GreaterOrEqual(t, ended, endsUntilSetAside)
	require.LessOrEqual(t, late, maxLateAttempts, "attempts that replicas began to run after it had ended three")
	require.Equal(t, http.StatusOK, status, "the other shards answer it")
	require.Eventually(t, func() bool {
		response, _, err := h.request(h.nodes[0], http.MethodGet, "/all/deadly", "last", "")
		return err == nil && response.Header.Get("Pistachiopier-Missing-Parts") == "1"
	}, waitLimit, time.Millisecond)
	for _, replica := range h.fleet.Replicas {
		require.False(t, replica.Crashed(), "the request is no longer sent to the shard")
	}
}
