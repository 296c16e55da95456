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
	// crashAttempts is how often a crashing request is sent, each time to a random node. The attempts last about twice
	// as long as quarantine records may take to reach all nodes, so that a request that is not set aside is detected.
	crashAttempts = 40
	// maxAttemptPause is the longest pause between two attempts.
	maxAttemptPause = 400 * time.Millisecond
	// maxRestartDelay is the longest time until a crashed replica starts again.
	maxRestartDelay = time.Second
	// Once crashThreshold replicas have crashed and the records have spread, allowedLateAttempts may still reach replicas.
	crashThreshold, allowedLateAttempts = 3, 3
)

// crashesReplica reports, by path or body, whether a request crashes every replica that begins to run it.
func crashesReplica(seen platformtest.ReceivedRequest) bool {
	return strings.Contains(seen.Target, "deadly") || strings.HasPrefix(seen.Body, "deadly")
}

// restartAfterCrash starts a replica again after a random delay, on the same address and under another id.
func (cl *cluster) restartAfterCrash(replica *upstream) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	replica.crashed = true
	if !replica.drainedAt.IsZero() {
		return
	}
	restartDelay := time.Duration(rand.Int64N(int64(maxRestartDelay)))
	cl.restarting.Go(func() {
		_ = replica.proxy.Refuse()
		time.Sleep(restartDelay)
		cl.mutex.Lock()
		next := cl.newReplica(replica.Service)
		next.proxy, next.dataCentre = replica.proxy, replica.dataCentre
		cl.mutex.Unlock()
		next.proxy.Retarget(next.Address())
		require.NoError(cl.t, next.proxy.Accept())
		cl.store.Remove(replica.Key())
		cl.store.Put(next.Key(), next.entry(platformtest.StateReady))
	})
}

// crashAttempt is one attempt of a crashing request.
type crashAttempt struct {
	id     string
	sentAt time.Time
	// nodeHealthy is set if the node had no fault for so long that it must have the quarantine records of the others.
	nodeHealthy bool
	status      int
}

// sendCrashingRequest sends one crashing request of a random form repeatedly, and checks how often it reached replicas
// after the threshold of crashes.
func (cl *cluster) sendCrashingRequest(f fault) {
	random := rand.New(rand.NewPCG(f.draw, 2))
	name := fmt.Sprintf("deadly-%x", f.draw)
	form := []requestForm{
		{http.MethodGet, "/plain/" + name, "x"}, {http.MethodGet, "/all/" + name, "x"}, {http.MethodPost, "/once/x", name},
	}[random.IntN(3)]
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var attempts []crashAttempt
	for i := range crashAttempts {
		attempts = append(attempts, cl.sendCrashAttempt(client, form, fmt.Sprintf("%s-%d", name, i), cl.nodes[random.IntN(nodeCount)]))
		time.Sleep(time.Duration(random.Int64N(int64(maxAttemptPause))))
	}
	cl.checkCrashAttempts(name, attempts)
}

// requestForm is the method, path and body of a crashing request.
type requestForm struct{ method, path, body string }

func (cl *cluster) sendCrashAttempt(client *http.Client, form requestForm, id string, node *vm) crashAttempt {
	attempt := crashAttempt{id: id, sentAt: time.Now(), nodeHealthy: node.healthyFor(stablePeriod)}
	request, _ := http.NewRequestWithContext(context.Background(), form.method, fmt.Sprintf("http://%s:%d%s", node.ip, callerPort, form.path), io.MultiReader(strings.NewReader(form.body)))
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "1500")
	response, err := client.Do(request)
	if err != nil {
		return attempt
	}
	_ = response.Body.Close()
	attempt.status = response.StatusCode
	return attempt
}

// checkCrashAttempts counts the attempts that reached replicas after the records of the third crash must have spread,
// and checks that no attempt that ran was reported not run.
func (cl *cluster) checkCrashAttempts(name string, attempts []crashAttempt) {
	thresholdAt, late := time.Time{}, 0
	var crashTimes []time.Time
	for _, attempt := range attempts {
		starts := cl.executionStarts(attempt.id)
		if attempt.status == http.StatusServiceUnavailable && len(starts) > 0 {
			cl.recordViolation("request %s ran and was reported not run", attempt.id)
		}
		if len(starts) > 0 && attempt.nodeHealthy && !thresholdAt.IsZero() && attempt.sentAt.Sub(thresholdAt) > stablePeriod {
			late++
		}
		crashTimes = append(crashTimes, starts...)
		if thresholdAt.IsZero() && len(crashTimes) >= crashThreshold {
			thresholdAt = crashTimes[crashThreshold-1]
		}
	}
	cl.logEvent("%s crashed %d replicas", name, len(crashTimes))
	if late > allowedLateAttempts {
		cl.recordViolation("%s reached replicas in %d attempts after it had crashed %d replicas, %d in all", name, late, crashThreshold, len(crashTimes))
	}
}

// executionStarts returns the times at which replicas began to run a request. Each such replica crashed.
func (cl *cluster) executionStarts(id string) []time.Time {
	cl.mutex.Lock()
	replicas := make([]*upstream, 0, len(cl.replicas))
	for _, replica := range cl.replicas {
		replicas = append(replicas, replica)
	}
	cl.mutex.Unlock()
	var times []time.Time
	for _, replica := range replicas {
		if replica.Runs(id) == 0 {
			continue
		}
		for _, seen := range replica.Arrivals() {
			if seen.ID == id {
				times = append(times, seen.At)
				break
			}
		}
	}
	return times
}
