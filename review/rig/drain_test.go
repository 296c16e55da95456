package rig

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Figures of the sheet of mll-search for invoice-fetch at a service of four replicas, such as waste-log, and the largest
// doses of its site files.
const (
	invoiceRate     = 22.5
	invoiceWork     = 120 * time.Millisecond
	invoiceDeadline = 5 * time.Second
	invoiceServers  = 4
	invoiceSlots    = 3
	invoiceQueue    = 12
	slowFactor      = 12
	burstFactor     = 1.7
	nodeCount       = 7
)

const (
	// slowFrom and slowUntil bound the two spells of 8 s in which all replicas are slow, burstUntil ends the bursts.
	slowFrom   = 6 * time.Second
	slowUntil  = 22 * time.Second
	burstUntil = 18 * time.Second
	// replaceFrom is when the first replica is replaced, replaceEvery the time between two of them.
	replaceFrom  = 9 * time.Second
	replaceEvery = 1500 * time.Millisecond
	// servesOn is how much longer than drainMs a draining replica serves before it exits.
	servesOn = 1500 * time.Millisecond
	// loadUntil ends the load, caseUntil the case.
	loadUntil = 24 * time.Second
	caseUntil = 31 * time.Second
)

// drainUnderLoad replaces the replicas of a service one after the other, the new one first, while all of them are slow
// and many users come at once. No request may reach a replica later than drainMs after the store accepted that it is
// draining.
func drainUnderLoad(w *world, trouble bool) ([]string, error) {
	w.publish(invoiceConfig())
	for i := range invoiceServers {
		if _, err := w.startInvoiceServer(i, 1); err != nil {
			return nil, err
		}
	}
	if err := w.startNodes(nodeCount); err != nil {
		return nil, err
	}
	c := newClients(w)
	w.run(c.followDirectory)
	w.sleep(stabilityTime)
	began := w.at()
	slowness := func() float64 {
		if t := w.at() - began; trouble && t > slowFrom && t < slowUntil {
			return slowFactor
		}
		return 1
	}
	rate := func() float64 {
		if t := w.at() - began; trouble && t > slowFrom && t < burstUntil {
			return invoiceRate * burstFactor
		}
		return invoiceRate
	}
	w.run(func() {
		c.load(rate, began+loadUntil, clientOptions{method: "POST", target: "/invoices/new", body: "one invoice", deadline: invoiceDeadline, retries: 1})
	})
	w.run(func() {
		for w.sleep(50 * time.Millisecond) {
			w.setSlowness(slowness())
		}
	})
	w.sleep(replaceFrom)
	for i, former := range w.servers() {
		if _, err := w.startInvoiceServer(i, slowness()); err != nil {
			return nil, err
		}
		former.leave(servesOn)
		w.sleep(replaceEvery)
	}
	w.sleep(began + caseUntil - w.at())
	return lateArrivals(w, c), nil
}

func (w *world) startInvoiceServer(i int, slowness float64) (*server, error) {
	return w.startServer(serverOptions{service: "invoice-desk", zone: zones[i%len(zones)], slots: invoiceSlots, queue: invoiceQueue, work: invoiceWork, slowness: slowness})
}

func invoiceConfig() platformtest.Config {
	return platformtest.Config{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "invoice-new", Host: host, Prefix: "/invoices/", Kind: platformtest.KindNonIdempotent, TimeoutMs: invoiceDeadline.Milliseconds(), TargetLatencyMs: 500, MaxAttempts: 2, Priority: 2, Service: "invoice-desk"}},
		Services: []platformtest.Service{{Name: "invoice-desk", HealthPath: "/health", MaxConns: 100}},
		Limits:   platformtest.DefaultLimits(),
	}
}

// lateArrivals checks the rule DRAIN, and records which of the late requests were lost when the replica exited.
func lateArrivals(w *world, c *clients) (violations []string) {
	answers := map[string]*answerTo{}
	for _, got := range c.all() {
		answers[got.id] = got
	}
	lost := 0
	for _, a := range w.received() {
		if a.outcome == "misdirected" || a.sinceLeaving <= drainTime {
			continue
		}
		status := -1
		if got := answers[a.id]; got != nil {
			status = got.status
		}
		if strings.HasPrefix(a.outcome, "cut") {
			lost++
		}
		violations = append(violations, fmt.Sprintf("DRAIN: request %s reached %s %d ms after the store had accepted that it is draining (bound %d ms); it %s, and its client got %d", a.id, a.server, a.sinceLeaving.Milliseconds(), drainTime.Milliseconds(), a.outcome, status))
	}
	w.record("%d requests arrived late, %d of them were lost when the replica exited", len(violations), lost)
	return violations
}
