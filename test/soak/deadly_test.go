package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	// deadlyTries is how often a deadly request comes, each time at a node drawn anew. They go on for about as long again
	// as news has to be everywhere, so that a request that is not set aside shows.
	deadlyTries = 40
	// deadlyPause is the longest pause between two tries.
	deadlyPause = 400 * time.Millisecond
	// longestEnded is the longest that a replica is away that ended under a request.
	longestEnded = time.Second
	// enoughEnded replicas must have ended before the tries are counted, of which sendsLeft may reach replicas.
	enoughEnded, sendsLeft = 3, 3
)

// deadly tells the requests that end each replica that begins to run them, by path or body.
func deadly(seen platformtest.ReceivedRequest) bool {
	return strings.Contains(seen.Target, "deadly") || strings.HasPrefix(seen.Body, "deadly")
}

// revive starts a replica that ended under a request again after a while, on its address and under another id.
func (w *world) revive(one *upstream) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	one.gone = true
	if !one.drainedAt.IsZero() {
		return
	}
	away := time.Duration(rand.Int64N(int64(longestEnded)))
	w.reviving.Go(func() {
		_ = one.proxy.Refuse()
		time.Sleep(away)
		w.mutex.Lock()
		next := w.newReplica(one.Service)
		next.proxy, next.dataCentre = one.proxy, one.dataCentre
		w.mutex.Unlock()
		next.proxy.Retarget(next.Address())
		require.NoError(w.t, next.proxy.Accept())
		w.store.Remove(one.Key())
		w.store.Put(next.Key(), next.entry(platformtest.StateReady))
	})
}

// deadlyTry is one try of a deadly request.
type deadlyTry struct {
	id     string
	sentAt time.Time
	// calm is set when the node had been without trouble for so long that it must know what the others know.
	calm   bool
	status int
}

// sendDeadly sends one deadly request again and again, of a kind that is drawn, and checks how often it reached replicas
// after it had ended some.
func (w *world) sendDeadly(f fault) {
	random := rand.New(rand.NewPCG(f.draw, 2))
	name := fmt.Sprintf("deadly-%x", f.draw)
	form := []deadlyForm{
		{http.MethodGet, "/plain/" + name, "x"}, {http.MethodGet, "/all/" + name, "x"}, {http.MethodPost, "/once/x", name},
	}[random.IntN(3)]
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var tries []deadlyTry
	for i := range deadlyTries {
		tries = append(tries, w.tryDeadly(client, form, fmt.Sprintf("%s-%d", name, i), w.nodes[random.IntN(nodeCount)]))
		time.Sleep(time.Duration(random.Int64N(int64(deadlyPause))))
	}
	w.checkDeadly(name, tries)
}

// deadlyForm is how a deadly request is sent.
type deadlyForm struct{ method, path, body string }

func (w *world) tryDeadly(client *http.Client, form deadlyForm, id string, one *vm) deadlyTry {
	try := deadlyTry{id: id, sentAt: time.Now(), calm: one.calmFor(stable)}
	request, _ := http.NewRequestWithContext(context.Background(), form.method, fmt.Sprintf("http://%s:%d%s", one.ip, callerPort, form.path), io.MultiReader(strings.NewReader(form.body)))
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "1500")
	response, err := client.Do(request)
	if err != nil {
		return try
	}
	_ = response.Body.Close()
	try.status = response.StatusCode
	return try
}

// checkDeadly counts the tries that reached replicas later than news takes after the third had ended, and those
// that were called not run.
func (w *world) checkDeadly(name string, tries []deadlyTry) {
	third, late := time.Time{}, 0
	var ends []time.Time
	for _, one := range tries {
		began := w.begins(one.id)
		if one.status == http.StatusServiceUnavailable && len(began) > 0 {
			w.fail("request %s ran and was called not run", one.id)
		}
		if len(began) > 0 && one.calm && !third.IsZero() && one.sentAt.Sub(third) > stable {
			late++
		}
		ends = append(ends, began...)
		if third.IsZero() && len(ends) >= enoughEnded {
			third = ends[enoughEnded-1]
		}
	}
	w.note("%s ended %d replicas", name, len(ends))
	if late > sendsLeft {
		w.fail("%s reached replicas in %d tries after it had ended %d, %d in all", name, late, enoughEnded, len(ends))
	}
}

// begins are the times at which replicas began a request. Each ends the replica.
func (w *world) begins(id string) []time.Time {
	w.mutex.Lock()
	replicas := make([]*upstream, 0, len(w.replicas))
	for _, one := range w.replicas {
		replicas = append(replicas, one)
	}
	w.mutex.Unlock()
	var times []time.Time
	for _, one := range replicas {
		if one.Runs(id) == 0 {
			continue
		}
		for _, seen := range one.Arrivals() {
			if seen.ID == id {
				times = append(times, seen.At)
				break
			}
		}
	}
	return times
}
