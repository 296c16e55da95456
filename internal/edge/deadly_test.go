package edge_test

import (
	"fmt"
	"net/http"
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
func deadlyWorld(t *testing.T, deadly func(platformtest.Seen) bool) *world {
	t.Helper()
	w := newWorld(t)
	act := func(seen platformtest.Seen) platformtest.Act {
		if deadly(seen) {
			return platformtest.End
		}
		return platformtest.Answer
	}
	for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
		for _, dataCentre := range []string{"east", "west"} {
			w.replica(service, dataCentre, service).SetAct(act)
		}
	}
	w.serve("east", "west", "east")
	return w
}

// tries sends a request once to each node in turn, whose replicas are all back before, and returns how
// many replicas had ended before each try that reached some.
func (w *world) tries(count int, method, target, body string) (endedBefore []int) {
	w.t.Helper()
	ended := 0
	for i := range count {
		w.recover()
		id := fmt.Sprintf("deadly-%d", i)
		_, _, _ = w.try(w.nodes[i%len(w.nodes)], method, target, id, body)
		reached, died := false, 0
		require.Eventually(w.t, func() bool {
			reached, died = w.reachedBy(id)
			return !reached || died > 0
		}, patience, time.Millisecond, "the request ends what it reaches")
		if reached {
			endedBefore = append(endedBefore, ended)
		}
		ended += died
	}
	return endedBefore
}

// reachedBy reports whether a request was begun by any replica, and how many have ended in all. One that is
// meant for a former incarnation is not begun.
func (w *world) reachedBy(id string) (reached bool, died int) {
	for _, one := range w.fleet.Replicas {
		reached = reached || one.Runs(id) > 0
		if one.Ended() {
			died++
		}
	}
	return reached, died
}

// recover starts what has ended again and waits until each node gives whole answers.
func (w *world) recover() {
	w.t.Helper()
	_, err := w.fleet.Revive()
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

// Each kind of route sends the deadly request on each time it comes, and its replicas end each time.
func TestARequestThatEndsReplicasIsSetAside(t *testing.T) {
	for name, one := range map[string]struct{ method, target, body string }{
		"gathered":           {http.MethodGet, "/all/deadly?q=1", ""},
		"plain":              {http.MethodGet, "/plain/deadly", ""},
		"not to be repeated": {http.MethodPost, "/once/x", "deadly"},
	} {
		t.Run(name, func(t *testing.T) {
			w := deadlyWorld(t, func(seen platformtest.Seen) bool { return seen.Target == one.target && seen.Body == one.body })
			left := 0
			for _, ended := range w.tries(12, one.method, one.target, one.body) {
				if ended >= enoughEnded {
					left++
				}
			}
			require.LessOrEqual(t, left, sendsLeft, "tries that reached replicas after it had ended three")
		})
	}
}
