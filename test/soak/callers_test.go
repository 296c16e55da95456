package soak_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// callers sends requests until the context ends and checks the answers.
type callers struct {
	cluster *cluster
	served  atomic.Int64
	sent    atomic.Int64
	next    atomic.Int64
	mutex   sync.Mutex
	// postStatuses holds the requests that must run at most once, with the status of
	// the answer; 0 is no answer.
	postStatuses map[string]int
}

const (
	callerCount = 6
	// addressCacheTime is three times the TTL that nodes return with the addresses.
	addressCacheTime = 3 * time.Second
	requestPause     = 15 * time.Millisecond
)

func (c *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range callerCount {
		running.Add(1)
		go func() {
			defer running.Done()
			c.runCaller(ctx, rand.New(rand.NewPCG(c.cluster.seed, uint64(i))))
		}()
	}
	running.Wait()
}

// runCaller is one caller: it resolves addresses, caches them, keeps its connections and
// sends requests.
func (c *callers) runCaller(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var addresses []string
	var resolvedAt time.Time
	for ctx.Err() == nil {
		time.Sleep(requestPause)
		if time.Since(resolvedAt) > addressCacheTime || len(addresses) == 0 {
			addresses, resolvedAt = c.resolve(ctx, client, random), time.Now()
			continue
		}
		address := addresses[random.IntN(len(addresses))]
		if !c.send(ctx, client, address, random.IntN(3)) {
			addresses = slices.DeleteFunc(slices.Clone(addresses), func(other string) bool { return other == address })
		}
	}
}

func (c *callers) resolve(ctx context.Context, client *http.Client, random *rand.Rand) []string {
	node := c.cluster.nodes[random.IntN(nodeCount)]
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/pistachiopier/resolve?zone=dc%d", node.ip, directoryPort, random.IntN(2)), nil)
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addrs
}

// send sends one request and checks the answer. It reports whether the node answered.
func (c *callers) send(ctx context.Context, client *http.Client, address string, kind int) bool {
	c.sent.Add(1)
	id := fmt.Sprintf("%x-%d", c.cluster.seed, c.next.Add(1))
	path, method := []string{"/plain/x?y=%2F", "/all/x", "/once/x"}[kind], http.MethodGet
	if kind == 2 {
		method = http.MethodPost
	}
	// net/http cannot rewind a body of this type, and so does not retry the request itself.
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.MultiReader(strings.NewReader("x")))
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "1500")
	node := c.node(address)
	process, sentAt := node.process(), time.Now()
	response, err := client.Do(request)
	if err != nil {
		c.checkNoAnswer(ctx, node, process, id, kind, sentAt, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.checkNoAnswer(ctx, node, process, id, kind, sentAt, err)
		return false
	}
	c.check(kind, id, sentAt, node, response, body)
	return true
}

func (c *callers) node(address string) *vm {
	host, _, _ := net.SplitHostPort(address)
	for _, node := range c.cluster.nodes {
		if node.ip == host {
			return node
		}
	}
	return nil
}

// minInFlight is the shortest wait after which a request counts as read by the node: a request
// that meets the close of an idle connection fails sooner.
const minInFlight = 50 * time.Millisecond

// checkNoAnswer checks a request without an answer. A process that only stops as planned, or
// whose settings are being changed, must answer every request that it has read. A request to
// an earlier process may have been cut by a kill, which a caller that was paused itself notices late.
func (c *callers) checkNoAnswer(ctx context.Context, node *vm, process int, id string, kind int, sentAt time.Time, err error) {
	c.recordStatus(id, kind, 0)
	node.mutex.Lock()
	plannedStop := (node.plannedStop || node.reloading > 0) && node.launches == process
	node.mutex.Unlock()
	var operation *net.OpError
	refused := errors.As(err, &operation) && operation.Op == "dial"
	if plannedStop && ctx.Err() == nil && !refused && time.Since(sentAt) > minInFlight {
		c.cluster.recordViolation("request %s got no answer from %s during a planned stop or a settings change: %v", id, node.ip, err)
	}
}

func (c *callers) recordStatus(id string, kind, status int) {
	if kind == 2 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.postStatuses[id] = status
	}
}

func (c *callers) check(kind int, id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	c.recordStatus(id, kind, response.StatusCode)
	switch {
	case response.StatusCode == http.StatusOK && kind == 1:
		c.checkGathered(id, sentAt, node, response, body)
	case response.StatusCode == http.StatusOK:
		c.checkForwarded(kind, id, sentAt, node, response, body)
	case strings.Contains(string(body), "replicas ended under"):
		c.cluster.recordViolation("request %s, which crashes no replica, was set aside", id)
	case response.StatusCode < 500:
		c.cluster.recordViolation("request %s got status %d, but is valid in every configuration", id, response.StatusCode)
	}
	if response.StatusCode == http.StatusOK {
		c.served.Add(1)
	}
}

// stampedService returns the service of the replica that signed the stamp for this request;
// empty if there is none.
func (c *callers) stampedService(id, stamp string) string {
	c.cluster.mutex.Lock()
	defer c.cluster.mutex.Unlock()
	for _, replica := range c.cluster.replicas {
		if replica.Stamp(id) == stamp {
			return replica.Service
		}
	}
	return ""
}

func (c *callers) checkForwarded(kind int, id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	service := c.stampedService(id, response.Header.Get("Pistachiopier-Server-Stamp"))
	if service == "" || string(body) != string(records(service)) {
		c.cluster.recordViolation("request %s: a success with %d bytes that are not the records of %q, stamp %q", id, len(body), service, response.Header.Get("Pistachiopier-Server-Stamp"))
		return
	}
	c.cluster.mutex.Lock()
	changed, previous := c.cluster.changedAt, c.cluster.previous
	c.cluster.mutex.Unlock()
	if kind == 0 && service == previous && c.mustBeInForce(changed, sentAt, node) {
		c.cluster.recordViolation("request %s was handled with the previous configuration", id)
	}
}

// mustBeInForce reports whether a change must have been in force at a node when a request was sent.
func (c *callers) mustBeInForce(changed, sentAt time.Time, node *vm) bool {
	c.cluster.mutex.Lock()
	storeHealthySince := c.cluster.storeHealthySince
	c.cluster.mutex.Unlock()
	return sentAt.Sub(changed) > applyBound+slack && sentAt.Sub(storeHealthySince) > stablePeriod+applyBound+slack && node.healthyFor(stablePeriod+applyBound+slack)
}

func (c *callers) checkGathered(id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	var parts []byte
	seen := map[string]bool{}
	partitions := map[byte]bool{}
	for _, stamp := range strings.Split(response.Header.Get("Pistachiopier-Part-Stamps"), ",") {
		service := c.stampedService(id, strings.TrimSpace(stamp))
		if !strings.HasPrefix(service, "shard") || seen[service] {
			c.cluster.recordViolation("request %s: stamp %q is from no shard, or from a shard that is listed twice", id, stamp)
			return
		}
		seen[service] = true
		partitions[service[len("shard")]] = true
		parts = append(parts, records(service)...)
	}
	if len(partitions) != 1 {
		c.cluster.recordViolation("request %s: parts do not come from one set of shards: %v", id, seen)
		return
	}
	partition := 0
	if partitions['1'] {
		partition = 1
	}
	requested := len(shards(partition))
	if missing := response.Header.Get("Pistachiopier-Missing-Parts"); missing != fmt.Sprint(requested-len(seen)) || 2*len(seen) < requested {
		c.cluster.recordViolation("request %s: %d parts, but the header states %s missing", id, len(seen), missing)
	}
	c.cluster.mutex.Lock()
	repartitioned, inForce := c.cluster.repartitionedAt, c.cluster.partition
	c.cluster.mutex.Unlock()
	if partition != inForce && c.mustBeInForce(repartitioned, sentAt, node) {
		c.cluster.recordViolation("request %s was answered from the previous set of shards", id)
	}
	var all []string
	for ; len(parts) >= 16; parts = parts[16:] {
		all = append(all, string(parts[:16]))
	}
	slices.Sort(all)
	slices.Reverse(all)
	if string(body) != strings.Join(all[:min(3, len(all))], "") {
		c.cluster.recordViolation("request %s: the records are not the greatest ones of the stamped parts", id)
	}
}

// checkExecutions compares the answers that callers got with the requests that replicas ran.
func (c *callers) checkExecutions() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, status := range c.postStatuses {
		runs := 0
		for _, replica := range c.cluster.replicas {
			runs += replica.Runs(id)
		}
		switch {
		case runs > 1:
			c.cluster.recordViolation("request %s ran %d times", id, runs)
		case status == http.StatusServiceUnavailable && runs != 0:
			c.cluster.recordViolation("request %s ran and was reported not run", id)
		case status == http.StatusOK && runs != 1:
			c.cluster.recordViolation("request %s got status 200 and did not run", id)
		}
	}
}

// checkExtraSends compares the number of arrivals beyond the first of each request with the
// bound, for each service and every window.
func (c *callers) checkExtraSends() {
	arrivals := map[string][]platformtest.ReceivedRequest{}
	for _, replica := range c.cluster.replicas {
		arrivals[replica.Service] = append(arrivals[replica.Service], replica.Arrivals()...)
	}
	for service, list := range arrivals {
		slices.SortFunc(list, func(a, b platformtest.ReceivedRequest) int { return a.At.Compare(b.At) })
		known := map[string]bool{}
		// extra is 1 for each arrival that is not the first of its request.
		extra := make([]int, len(list))
		for i, seen := range list {
			if known[seen.ID] {
				extra[i] = 1
			}
			known[seen.ID] = true
		}
		extras, begin := 0, 0
		for i, seen := range list {
			extras += extra[i]
			for ; seen.At.Sub(list[begin].At) > extraWindow; begin++ {
				extras -= extra[begin]
			}
			firsts := i + 1 - begin - extras
			if bound := extraRatio*float64(firsts) + extraAllowance; float64(extras) > bound {
				c.cluster.recordViolation("service %s got %d arrivals for %d requests within %v, more than %.0f extra", service, firsts+extras, firsts, extraWindow, bound)
				break
			}
		}
	}
}
