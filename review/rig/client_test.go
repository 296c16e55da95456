package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answerTo is what a client got for one attempt.
type answerTo struct {
	id     string
	sentAt time.Duration
	node   string
	// status is 0 if the connection ended without a complete answer.
	status     int
	retryAfter time.Duration
	header     http.Header
	body       string
	// sentTarget is that of the request.
	sentTarget string
	// final is set for the last attempt of a request.
	final bool
}

// clientOptions describe the requests of a client.
type clientOptions struct {
	method, target, body string
	// query, if set, returns the query of each request.
	query    func() string
	deadline time.Duration
	// retries is how often a request is repeated after an answer that promises that it has not run.
	retries int
}

// clients send requests as the pages say of clients, and keep what they were answered.
type clients struct {
	world   *world
	next    atomic.Uint64
	mutex   sync.Mutex
	answers []*answerTo
	// addresses are those of the directory's last answer, by zone.
	addresses map[string][]string
}

func newClients(w *world) *clients { return &clients{world: w, addresses: map[string][]string{}} }

// followDirectory keeps the addresses for all zones.
func (c *clients) followDirectory() {
	for {
		for _, zone := range zones {
			if addresses := c.resolve(zone); len(addresses) > 0 {
				c.mutex.Lock()
				c.addresses[zone] = addresses
				c.mutex.Unlock()
			}
		}
		if !c.world.sleep(time.Second) {
			return
		}
	}
}

// resolve asks the nodes for addresses, those of the zone first.
func (c *clients) resolve(zone string) []string {
	nodes := append([]*node(nil), c.world.nodes...)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, near := range []bool{true, false} {
		for _, n := range nodes {
			if (n.zone == zone) != near {
				continue
			}
			response, err := client.Get(fmt.Sprintf("http://%s:%d/pistachiopier/resolve?name=%s&region=dixie-east&zone=%s", n.ip, n.ports.directory, host, zone))
			if err != nil {
				continue
			}
			var found struct {
				Addrs []string `json:"addrs"`
			}
			err = json.NewDecoder(response.Body).Decode(&found)
			_ = response.Body.Close()
			if err == nil && len(found.Addrs) > 0 {
				return found.Addrs
			}
		}
	}
	return nil
}

// pick chooses an address for a client of a zone.
func (c *clients) pick(zone string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.addresses[zone]
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// request sends a request, and repeats it after a promise that it has not run, within its deadline.
func (c *clients) request(zone string, options clientOptions) {
	if options.query != nil {
		options.target += "?" + options.query()
	}
	until := time.Now().Add(options.deadline)
	var last *answerTo
	defer func() {
		if last != nil {
			c.mutex.Lock()
			last.final = true
			c.mutex.Unlock()
		}
	}()
	for attempt := 0; attempt <= options.retries; attempt++ {
		left := time.Until(until)
		if left < 20*time.Millisecond {
			return
		}
		last = c.attempt(c.pick(zone), options, left)
		if !mayRepeat(options, last.status) {
			return
		}
		if !c.world.sleep(min(last.retryAfter, time.Until(until)/3)) {
			return
		}
	}
}

// mayRepeat reports whether a client repeats a request: after a promise that it has not run, and an idempotent one after
// any failure.
func mayRepeat(options clientOptions, status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return options.method == http.MethodGet && (status == 0 || status >= 500)
	}
}

// lastAttempts returns the answers to the last attempts of all requests that have ended.
func (c *clients) lastAttempts() (last []*answerTo) {
	for _, got := range c.all() {
		if got.final {
			last = append(last, got)
		}
	}
	return last
}

// attempt makes one attempt on a connection of its own.
func (c *clients) attempt(address string, options clientOptions, left time.Duration) *answerTo {
	got := &answerTo{id: fmt.Sprintf("%08x", c.next.Add(1)), sentAt: c.world.at(), node: address, sentTarget: options.target}
	c.world.record("client: %s %s %s to %s, %d ms left", got.id, options.method, options.target, address, left.Milliseconds())
	c.exchange(address, options, left, got)
	c.mutex.Lock()
	c.answers = append(c.answers, got)
	c.mutex.Unlock()
	c.world.record("client: %s answered %d after %d ms", got.id, got.status, (c.world.at() - got.sentAt).Milliseconds())
	return got
}

func (c *clients) exchange(address string, options clientOptions, left time.Duration, got *answerTo) {
	conn, err := net.DialTimeout("tcp", address, min(left, time.Second))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(left))
	text := options.method + " " + options.target + " HTTP/1.1\r\nHost: " + host + "\r\nPistachiopier-Request-Id: " + got.id +
		"\r\nPistachiopier-Deadline-Ms: " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n"
	if options.method != http.MethodGet {
		text += "Content-Length: " + strconv.Itoa(len(options.body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+options.body); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: options.method})
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	got.status, got.header, got.body = response.StatusCode, response.Header, string(body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	got.retryAfter = time.Duration(seconds * float64(time.Second))
}

// load sends requests at a rate, in exponential intervals, until the given time.
func (c *clients) load(rate func() float64, until time.Duration, options clientOptions) {
	for c.world.at() < until {
		if !c.world.sleep(time.Duration(rand.ExpFloat64() / rate() * float64(time.Second))) {
			return
		}
		zone := zones[rand.IntN(len(zones))]
		c.world.run(func() { c.request(zone, options) })
	}
}

// all returns the answers so far.
func (c *clients) all() []*answerTo {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*answerTo(nil), c.answers...)
}
