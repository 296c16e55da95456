package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	// instantAttempts is the number of attempts of a deadly request.
	instantAttempts = 20
	// maxEndedPerShard is the number of replicas of one shard that a deadly request may end: those that show that it
	// must be set aside, and those of attempts that begin before this is known.
	maxEndedPerShard = endsUntilSetAside + maxLateAttempts
)

// instantRestarts replaces each replica that ends by its next incarnation without refusing a connection.
type instantRestarts struct {
	h     *harness
	mutex sync.Mutex
	ended int
	// latest is the incarnation that was started last.
	latest *platformtest.Replica
}

func (r *instantRestarts) replace(crashed *platformtest.Replica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended++
	next := crashed.Replace(fmt.Sprintf("%s-next-%d", crashed.Service, r.ended))
	r.latest = next
	r.h.store.Put(next.Key(), next.Entry("east", platformtest.StateReady))
}

func (r *instantRestarts) endedCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended
}

// awaitListed waits until each node knows the incarnation that was started last.
func (r *instantRestarts) awaitListed() {
	r.h.t.Helper()
	r.mutex.Lock()
	latest := r.latest
	r.mutex.Unlock()
	if latest == nil {
		return
	}
	for _, node := range r.h.nodes {
		require.Eventually(r.h.t, func() bool {
			_, dump := r.h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
			return strings.Contains(dump, `"`+latest.ID+`"`)
		}, waitLimit, time.Millisecond, "the next incarnation is listed")
	}
}

// Guards against a deadly request whose replicas are restarted at once on their ports, so that no connection is refused
// and no end is seen.
func TestADeadlyRequestIsSetAsideWhereReplicasRestartAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		request  deadlyRequest
		maxEnded int
	}{
		"plain":              {deadlyRequest{http.MethodGet, "/plain/deadly", "", "127.0.0.1"}, maxEndedPerShard},
		"not to be repeated": {deadlyRequest{http.MethodPost, "/once/x", "deadly", "127.0.0.1"}, maxEndedPerShard},
		"gathered":           {deadlyRequest{http.MethodGet, "/all/deadly", "", "127.0.0.1"}, 3 * maxEndedPerShard},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			restarts := &instantRestarts{h: h}
			for _, service := range []string{"notes", "invoices", "s1", "s2", "s3"} {
				for range 3 {
					replica := h.replica(service, "east", service)
					replica.SetCrashOn(func(seen platformtest.ReceivedRequest) bool {
						return strings.Contains(seen.Target, "deadly") || seen.Body == "deadly"
					})
					replica.SetReplaceOnCrash(restarts.replace)
				}
			}
			h.serve("east", "east", "east")
			t.Cleanup(func() { t.Logf("%d replicas ended in %d attempts", restarts.endedCount(), instantAttempts) })
			for i := range instantAttempts {
				h.sendDeadly(h.nodes[i%len(h.nodes)], c.request, fmt.Sprint("deadly-", i))
				restarts.awaitListed()
				h.awaitInnocentAnswers()
			}
			require.LessOrEqual(t, restarts.endedCount(), c.maxEnded)
			require.Equal(t, http.StatusServiceUnavailable, h.sendDeadly(h.nodes[0], c.request, "last"))
		})
	}
}
