package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	routeHost = "stems.example"
	routePath = "/stems/"
)

// config returns a configuration with one route to one service.
func config(kind string, timeout time.Duration) platformtest.Config {
	return platformtest.Config{
		Version:  7,
		Routes:   []platformtest.Route{{Name: "stem-fetch", Host: routeHost, Prefix: routePath, Kind: kind, TimeoutMs: timeout.Milliseconds(), TargetLatencyMs: 400, Priority: 2, Service: serviceName, MaxAttempts: 2}},
		Services: []platformtest.Service{{Name: serviceName, HealthPath: "/health", MaxConns: 96}},
		Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// settingsChangeWhileStopping stops one of two nodes as planned, and announces a change of its settings file one second
// later. Clients that have its address cached send to it for a second and a half.
func settingsChangeWhileStopping(w *world, trouble bool) (broken bool, err error) {
	const (
		work     = 300 * time.Millisecond
		deadline = 4 * time.Second
		interval = 50 * time.Millisecond
		requests = 30
		// hangupAfter is the number of requests after which the settings file changes.
		hangupAfter = 20
	)
	w.store.Publish(config(platformtest.KindNonIdempotent, deadline))
	for i := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-%d", i+1), "hall-a", 6, work); err != nil {
			return false, err
		}
	}
	if err := w.startNodes("hall-a", "hall-a"); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	stopped := w.nodes[0]
	if err := stopped.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	answers := make(chan answer, requests)
	var clients sync.WaitGroup
	for i := range requests {
		if i == hangupAfter && trouble {
			if err := stopped.signal(syscall.SIGHUP); err != nil {
				return false, err
			}
		}
		clients.Go(func() {
			answers <- w.send(stopped, "POST", routeHost, routePath+"7f", fmt.Sprintf("request-%02d", i), []byte("order"), deadline)
		})
		time.Sleep(interval)
	}
	clients.Wait()
	close(answers)
	lost := 0
	for got := range answers {
		if got.status == 0 && w.reached(got.id) {
			w.note("LOST: %s had been passed on to a replica, and its connection ended without an answer", got.id)
			lost++
		}
	}
	w.note("%d of %d requests lost; %s has ended: %t", lost, requests, stopped.name, stopped.hasEnded())
	return lost > 0, nil
}

// reached reports whether a request reached any replica.
func (w *world) reached(id string) bool {
	for _, r := range w.replicas {
		if _, arrived := r.arrivedAt(id); arrived {
			return true
		}
	}
	return false
}
