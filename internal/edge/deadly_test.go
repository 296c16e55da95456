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

// What users saw: for seconds at a time, 13 times in a day, no question over all shards was answered. All replicas of
// a service ended within a tenth of a second, were back after three seconds and ended again.
// How it came about: one request ends each replica that begins to run it. It went to one replica of every shard at
// once and, where these broke off, to the other one. Its caller sent it again under a new id, at another node.
// Cause: each try was judged by itself. Nothing that a node learnt of a request outlived the try, and nodes told each other
// nothing of requests. Proof: here the same request reaches replicas at every try, with no other load on them.

// sendsLeft is how many tries may still reach replicas once a request has ended three of them.
const (
	enoughEnded = 3
	sendsLeft   = 3
)

// deadlyWorld has two replicas of each service, in two data centres, and a node more in one of them. Requests
// whose target or body is deadly end the replica that begins to run them.
func deadlyWorld(t *testing.T, deadly func(platformtest.ReceivedRequest) bool) *world {
	t.Helper()
	w := newWorld(t)
	for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		for _, dataCentre := range []string{"east", "west"} {
			w.replica(service, dataCentre, service).SetCrashOn(deadly)
		}
	}
	w.serve("east", "west", "east")
	return w
}

// deadlyTry is one try of the deadly request.
type deadlyTry struct {
	method, target, body string
	// from is the address that it comes from.
	from string
}

// tries sends the deadly request once to each node in turn, whose replicas are all back before, and returns how
// many replicas had ended before each try that was begun by some.
func (w *world) tries(count int, number func(i int) deadlyTry) (endedBefore []int) {
	w.t.Helper()
	ended := 0
	for i := range count {
		w.recover()
		id := fmt.Sprintf("deadly-%d", i)
		w.tryDeadly(w.nodes[i%len(w.nodes)], number(i), id)
		begun, died := false, 0
		require.Eventually(w.t, func() bool {
			begun, died = w.begun(id)
			return !begun || died > 0
		}, patience, time.Millisecond, "the request ends what begins it")
		if begun {
			endedBefore = append(endedBefore, ended)
		}
		ended += died
	}
	return endedBefore
}

// tryDeadly sends one try and returns its status, 0 for none.
func (w *world) tryDeadly(one *node, try deadlyTry, id string) int {
	w.t.Helper()
	request, err := http.NewRequestWithContext(w.t.Context(), try.method, "http://"+one.Settings.CallerAddress+try.target, strings.NewReader(try.body))
	require.NoError(w.t, err)
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "2000")
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(try.from)}}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// begun reports whether a request was begun by any replica, and how many have ended. One that is meant for a
// former incarnation is not begun.
func (w *world) begun(id string) (begun bool, died int) {
	for _, one := range w.fleet.Replicas {
		begun = begun || one.Runs(id) > 0
		if one.Crashed() {
			died++
		}
	}
	return begun, died
}

// recover starts what has ended again and waits until each node gives whole answers.
func (w *world) recover() {
	w.t.Helper()
	_, err := w.fleet.RestartCrashed()
	require.NoError(w.t, err)
	for _, one := range w.nodes {
		for _, target := range []string{"/all/innocent", "/plain/innocent", "/once/innocent"} {
			require.Eventually(w.t, func() bool {
				response, _, err := w.try(one, http.MethodGet, target, fmt.Sprint("innocent-", time.Now().UnixNano()), "")
				return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Pistachiopier-Missing-Parts") != "1"
			}, patience, time.Millisecond, "innocent requests are answered")
		}
	}
}

// requireFewSends requires that the deadly request reached replicas in few tries once it had ended three.
func requireFewSends(t *testing.T, endedBefore []int) {
	t.Helper()
	left := 0
	for _, ended := range endedBefore {
		if ended >= enoughEnded {
			left++
		}
	}
	require.LessOrEqual(t, left, sendsLeft, "tries that were begun after it had ended three")
}

func everyTime(try deadlyTry) func(int) deadlyTry { return func(int) deadlyTry { return try } }

// Each kind of route sends the deadly request on each time it comes, and its replicas end each time. It may come
// through another gateway or with another query.
func TestARequestThatEndsReplicasIsSetAside(t *testing.T) {
	const here = "127.0.0.1"
	for name, number := range map[string]func(int) deadlyTry{
		"gathered":           everyTime(deadlyTry{http.MethodGet, "/all/deadly?q=1", "", here}),
		"plain":              everyTime(deadlyTry{http.MethodGet, "/plain/deadly", "", here}),
		"not to be repeated": everyTime(deadlyTry{http.MethodPost, "/once/x", "deadly", here}),
		"from several addresses": func(i int) deadlyTry {
			return deadlyTry{http.MethodGet, "/all/deadly", "", fmt.Sprintf("127.0.0.%d", i+1)}
		},
		"with several queries": func(i int) deadlyTry {
			return deadlyTry{http.MethodGet, fmt.Sprintf("/all/deadly?page=%d", i), "", here}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := deadlyWorld(t, func(seen platformtest.ReceivedRequest) bool {
				return strings.Contains(seen.Target, "deadly") || seen.Body == "deadly"
			})
			requireFewSends(t, w.tries(12, number))
		})
	}
}

// Two requests differ by their bodies alone. The one ends replicas; the other, by the same caller, must not be
// refused for it.
func TestTheBodyAloneTellsTwoRequestsApart(t *testing.T) {
	w := deadlyWorld(t, func(seen platformtest.ReceivedRequest) bool { return seen.Body == "deadly" })
	number := everyTime(deadlyTry{http.MethodPost, "/all/x", "deadly", "127.0.0.1"})
	requireFewSends(t, w.tries(6, number))
	w.recover()
	for i, one := range w.nodes {
		require.Equal(t, http.StatusServiceUnavailable, w.tryDeadly(one, number(0), fmt.Sprint("again-", i)))
		require.Equal(t, http.StatusOK, w.tryDeadly(one, deadlyTry{http.MethodPost, "/all/x", "harmless", "127.0.0.1"}, fmt.Sprint("other-", i)))
	}
}

// A node that joins later has heard nothing of the request when it starts, and would send it to all shards.
func TestANodeThatJoinsLaterKnowsWhatIsSetAside(t *testing.T) {
	w := deadlyWorld(t, func(seen platformtest.ReceivedRequest) bool { return seen.Target == "/all/deadly" })
	try := deadlyTry{http.MethodGet, "/all/deadly", "", "127.0.0.1"}
	w.tries(4, everyTime(try))
	w.startOne("west", nil)
	w.ready()
	w.recover()
	late := w.nodes[len(w.nodes)-1]
	w.line(late, "request_set_aside")
	require.Equal(t, http.StatusServiceUnavailable, w.tryDeadly(late, try, "late"))
	begun, _ := w.begun("late")
	require.False(t, begun)
}

// quarantined is what a node's dump tells of a request under which replicas ended.
type quarantined struct {
	Ended int `json:"replicas_ended"`
}

// awaitEnded waits until a node knows of so many replicas that ended under one request.
func (w *world) awaitEnded(one *node, ended int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		_, body := w.get("http://"+one.Settings.MetricsAddress+"/dump", nil)
		var state struct {
			Quarantine []quarantined `json:"quarantine"`
		}
		require.NoError(w.t, json.Unmarshal([]byte(body), &state))
		return slices.ContainsFunc(state.Quarantine, func(known quarantined) bool { return known.Ended >= ended })
	}, patience, time.Millisecond, "the node knows of %d replicas that ended", ended)
}

// All replicas of two shards are in the other data centre, and the node there sends to them. What it sees at the first try counts
// as what the entry sees itself at its trials: the third try is rejected.
func TestTheEndsThatAHelperSawCount(t *testing.T) {
	w := newWorld(t)
	for service, dataCentre := range map[string]string{"notes": "east", "invoices": "east", "s1": "east", "s2": "west", "s3": "west"} {
		for range 2 {
			w.replica(service, dataCentre, service).SetCrashOn(func(seen platformtest.ReceivedRequest) bool { return seen.Target == "/far/deadly" })
		}
	}
	w.configure(1, route("far", platformtest.KindIdempotent, gather(3, 0.5, "s2", "s3")))
	w.start("east", "west")
	w.ready()
	try := deadlyTry{http.MethodGet, "/far/deadly", "", "127.0.0.1"}
	for i := range 2 {
		w.recover()
		w.tryDeadly(w.nodes[0], try, fmt.Sprint("deadly-", i))
		// The first try ends one replica of each shard and one more.
		w.awaitEnded(w.nodes[0], 3+i)
	}
	w.line(w.nodes[0], "request_set_aside")
	w.recover()
	require.Equal(t, http.StatusServiceUnavailable, w.tryDeadly(w.nodes[0], try, "third"))
	begun, _ := w.begun("third")
	require.False(t, begun)
}

// All replicas of the nearest data centre crash at once, with a popular question in work that harms nobody. Its
// next tries must be answered.
func TestAQuestionInWorkAtACrashOfADataCentreIsServedOn(t *testing.T) {
	w := deadlyWorld(t, func(platformtest.ReceivedRequest) bool { return false })
	for range 3 {
		for i, one := range w.fleet.Replicas {
			if i%2 == 0 {
				one.SetBehaviour(func(seen platformtest.ReceivedRequest) platformtest.Behaviour {
					if strings.HasSuffix(seen.Target, "/popular") {
						return platformtest.Crash
					}
					return platformtest.Answer
				})
			}
		}
		w.tryDeadly(w.nodes[0], deadlyTry{http.MethodGet, "/all/popular", "", "127.0.0.1"}, fmt.Sprint("popular-", time.Now().UnixNano()))
		for _, one := range w.fleet.Replicas {
			one.SetBehaviour(always(platformtest.Answer))
		}
		w.recover()
		for i, one := range w.nodes {
			require.Equal(t, http.StatusOK, w.tryDeadly(one, deadlyTry{http.MethodGet, "/all/popular", "", "127.0.0.1"}, fmt.Sprint("served-", i, time.Now().UnixNano())))
		}
	}
}

// Guards against answers of other shards keeping a request from being set aside at the shard whose replicas it ends. Once
// set aside there, it is answered without that shard.
func TestARequestThatEndsOneShardsReplicasIsAnsweredWithoutIt(t *testing.T) {
	w := newWorld(t)
	for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		for _, dataCentre := range []string{"east", "west", "east"} {
			one := w.replica(service, dataCentre, service)
			if service == "s2" {
				one.SetCrashOn(func(seen platformtest.ReceivedRequest) bool { return strings.Contains(seen.Target, "deadly") })
			}
		}
	}
	w.serve("east", "west", "east")
	try := deadlyTry{http.MethodGet, "/all/deadly", "", "127.0.0.1"}
	ended, late, status := 0, 0, 0
	for i := range 12 {
		w.recover()
		before := ended
		status = w.tryDeadly(w.nodes[i%len(w.nodes)], try, fmt.Sprint("deadly-", i))
		for _, one := range w.fleet.Replicas {
			if one.Crashed() {
				ended++
			}
		}
		if before >= enoughEnded && ended > before {
			late++
		}
	}
	require.GreaterOrEqual(t, ended, enoughEnded)
	require.LessOrEqual(t, late, sendsLeft, "tries that were begun after it had ended three")
	require.Equal(t, http.StatusOK, status, "the other shards answer it")
	require.Eventually(t, func() bool {
		response, _, err := w.try(w.nodes[0], http.MethodGet, "/all/deadly", "last", "")
		return err == nil && response.Header.Get("Pistachiopier-Missing-Parts") == "1"
	}, patience, time.Millisecond)
	for _, one := range w.fleet.Replicas {
		require.False(t, one.Crashed(), "the request is no longer sent to the shard")
	}
}
