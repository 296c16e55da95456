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

// callers send checked requests until the context ends.
type callers struct {
	w      *world
	served atomic.Int64
	asked  atomic.Int64
	next   atomic.Int64
	mutex  sync.Mutex
	// posts are the requests that must run at most once, with the status that the
	// caller got; 0 is none.
	posts map[string]int
}

const (
	callerCount = 6
	// keptAnswer is how long callers keep an address answer, three times what they are told.
	keptAnswer = 3 * time.Second
	pause      = 15 * time.Millisecond
)

func (c *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range callerCount {
		running.Add(1)
		go func() {
			defer running.Done()
			c.one(ctx, rand.New(rand.NewPCG(c.w.seed, uint64(i))))
		}()
	}
	running.Wait()
}

// one is a caller: it asks for addresses, keeps them and its connections, and asks.
func (c *callers) one(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var addresses []string
	var askedAt time.Time
	for ctx.Err() == nil {
		time.Sleep(pause)
		if time.Since(askedAt) > keptAnswer || len(addresses) == 0 {
			addresses, askedAt = c.resolve(ctx, client, random), time.Now()
			continue
		}
		address := addresses[random.IntN(len(addresses))]
		if !c.ask(ctx, client, address, random.IntN(3)) {
			addresses = slices.DeleteFunc(slices.Clone(addresses), func(one string) bool { return one == address })
		}
	}
}

func (c *callers) resolve(ctx context.Context, client *http.Client, random *rand.Rand) []string {
	node := c.w.nodes[random.IntN(nodeCount)]
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

// ask sends one request and checks the answer. It reports whether the node answered.
func (c *callers) ask(ctx context.Context, client *http.Client, address string, kind int) bool {
	c.asked.Add(1)
	id := fmt.Sprintf("%x-%d", c.w.seed, c.next.Add(1))
	path, method := []string{"/plain/x?y=%2F", "/all/x", "/once/x"}[kind], http.MethodGet
	if kind == 2 {
		method = http.MethodPost
	}
	// With a body of its own net/http cannot send the request again by itself.
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.MultiReader(strings.NewReader("x")))
	request.Host = "search.example"
	request.Header.Set("Pistachiopier-Request-Id", id)
	request.Header.Set("Pistachiopier-Deadline-Ms", "1500")
	node := c.node(address)
	process, sentAt := node.process(), time.Now()
	response, err := client.Do(request)
	if err != nil {
		c.noAnswer(ctx, node, process, id, kind, sentAt, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.noAnswer(ctx, node, process, id, kind, sentAt, err)
		return false
	}
	c.check(kind, id, sentAt, node, response, body)
	return true
}

func (c *callers) node(address string) *vm {
	host, _, _ := net.SplitHostPort(address)
	for _, one := range c.w.nodes {
		if one.ip == host {
			return one
		}
	}
	return nil
}

// inWork is how long a request must have waited to have been read: one that crosses the close of
// an idle connection ends sooner.
const inWork = 50 * time.Millisecond

// noAnswer is a request without an answer. One that was read by a process which only stops as
// planned, or whose settings are being changed, must have one. A request to the process before that one may have been cut by a kill,
// which a caller that stood still itself notices late.
func (c *callers) noAnswer(ctx context.Context, node *vm, process int, id string, kind int, sentAt time.Time, err error) {
	c.remember(id, kind, 0)
	node.mutex.Lock()
	planned := (node.planned || node.reloading > 0) && node.launches == process
	node.mutex.Unlock()
	var operation *net.OpError
	refused := errors.As(err, &operation) && operation.Op == "dial"
	if planned && ctx.Err() == nil && !refused && time.Since(sentAt) > inWork {
		c.w.fail("request %s got no answer from %s, which only stops or reads its settings: %v", id, node.ip, err)
	}
}

func (c *callers) remember(id string, kind, status int) {
	if kind == 2 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.posts[id] = status
	}
}

func (c *callers) check(kind int, id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	c.remember(id, kind, response.StatusCode)
	switch {
	case response.StatusCode == http.StatusOK && kind == 1:
		c.checkGathered(id, sentAt, node, response, body)
	case response.StatusCode == http.StatusOK:
		c.checkForwarded(kind, id, sentAt, node, response, body)
	case strings.Contains(string(body), "replicas ended under"):
		c.w.fail("request %s, under which no replica ends, was set aside", id)
	case response.StatusCode < 500:
		c.w.fail("request %s got status %d, though each configuration allows it", id, response.StatusCode)
	}
	if response.StatusCode == http.StatusOK {
		c.served.Add(1)
	}
}

// signer finds the replica that a signature is of; it must be to this request.
func (c *callers) signer(id, stamp string) string {
	c.w.mutex.Lock()
	defer c.w.mutex.Unlock()
	for _, one := range c.w.replicas {
		if one.Stamp(id) == stamp {
			return one.Service
		}
	}
	return ""
}

func (c *callers) checkForwarded(kind int, id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	service := c.signer(id, response.Header.Get("Pistachiopier-Server-Stamp"))
	if service == "" || string(body) != string(records(service)) {
		c.w.fail("request %s: a success with %d bytes that are not those of %q, which signed as %q", id, len(body), service, response.Header.Get("Pistachiopier-Server-Stamp"))
		return
	}
	c.w.mutex.Lock()
	changed, former := c.w.changedAt, c.w.former
	c.w.mutex.Unlock()
	if kind == 0 && service == former && c.due(changed, sentAt, node) {
		c.w.fail("request %s was handled by the former configuration", id)
	}
}

// due reports whether a change must have been in force at a node when a request was sent.
func (c *callers) due(changed, sentAt time.Time, node *vm) bool {
	c.w.mutex.Lock()
	calm := c.w.storeCalm
	c.w.mutex.Unlock()
	return sentAt.Sub(changed) > applyWait+slack && sentAt.Sub(calm) > stable+applyWait+slack && node.calmFor(stable+applyWait+slack)
}

func (c *callers) checkGathered(id string, sentAt time.Time, node *vm, response *http.Response, body []byte) {
	var parts []byte
	seen := map[string]bool{}
	partitions := map[byte]bool{}
	for _, stamp := range strings.Split(response.Header.Get("Pistachiopier-Part-Stamps"), ",") {
		service := c.signer(id, strings.TrimSpace(stamp))
		if !strings.HasPrefix(service, "shard") || seen[service] {
			c.w.fail("request %s: signature %q is of no shard, or of one twice", id, stamp)
			return
		}
		seen[service] = true
		partitions[service[len("shard")]] = true
		parts = append(parts, records(service)...)
	}
	if len(partitions) != 1 {
		c.w.fail("request %s: parts of two sets of shards: %v", id, seen)
		return
	}
	partition := 0
	if partitions['1'] {
		partition = 1
	}
	asked := len(shards(partition))
	if missing := response.Header.Get("Pistachiopier-Missing-Parts"); missing != fmt.Sprint(asked-len(seen)) || 2*len(seen) < asked {
		c.w.fail("request %s: %d parts and %s missing", id, len(seen), missing)
	}
	c.w.mutex.Lock()
	repartitioned, inForce := c.w.repartitionedAt, c.w.partition
	c.w.mutex.Unlock()
	if partition != inForce && c.due(repartitioned, sentAt, node) {
		c.w.fail("request %s was answered from the former shards", id)
	}
	var all []string
	for ; len(parts) >= 16; parts = parts[16:] {
		all = append(all, string(parts[:16]))
	}
	slices.Sort(all)
	slices.Reverse(all)
	if string(body) != strings.Join(all[:min(3, len(all))], "") {
		c.w.fail("request %s: the records are not the greatest of the parts named", id)
	}
}

// checkLedgers compares what callers were told with what replicas ran.
func (c *callers) checkLedgers() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, status := range c.posts {
		runs := 0
		for _, one := range c.w.replicas {
			runs += one.Runs(id)
		}
		switch {
		case runs > 1:
			c.w.fail("request %s ran %d times", id, runs)
		case status == http.StatusServiceUnavailable && runs != 0:
			c.w.fail("request %s ran and was called not run", id)
		case status == http.StatusOK && runs != 1:
			c.w.fail("request %s was answered and did not run", id)
		}
	}
}

// checkExtra compares the arrivals beyond the first of each request with the bound, for each
// service and any window.
func (c *callers) checkExtra() {
	arrivals := map[string][]platformtest.ReceivedRequest{}
	for _, one := range c.w.replicas {
		arrivals[one.Service] = append(arrivals[one.Service], one.Arrivals()...)
	}
	for service, list := range arrivals {
		slices.SortFunc(list, func(a, b platformtest.ReceivedRequest) int { return a.At.Compare(b.At) })
		known := map[string]bool{}
		// extra is 1 for an arrival beyond the first of its request.
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
				c.w.fail("service %s got %d arrivals for %d requests within %v, over %.0f beyond them", service, firsts+extras, firsts, extraWindow, bound)
				break
			}
		}
	}
}
