package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/platform"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	sentAt time.Time
	// status is 0 if the connection ended without a whole answer; err then tells how.
	status int
	err    error
	// dialFailed is set if no connection was opened.
	dialFailed bool
}

// newClient returns a client that opens a connection for each request and repeats none.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// send sends one request and waits for its whole answer.
func (w *world) send(to *node, method, host, path, id string, body []byte, deadline time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+to.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	request.Host = host
	platform.SetRequestHeaders(request.Header, id, deadline)
	client := newClient()
	client.Timeout = deadline
	w.note("%s is sent to %s", id, to.name)
	got := answer{id: id, sentAt: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		got.err = err
		got.dialFailed = isDialError(err)
		w.note("%s gets no answer: %v", id, err)
		return got
	}
	got.status = response.StatusCode
	w.note("%s is answered with %d", id, got.status)
	return got
}

func isDialError(err error) bool { return bytes.Contains([]byte(fmt.Sprint(err)), []byte("dial tcp")) }

// inParallel starts calls at an interval, each in a goroutine.
func (w *world) inParallel(count int, interval time.Duration, call func(i int)) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() { call(i) })
		time.Sleep(interval)
	}
	return &running
}
