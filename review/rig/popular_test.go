package rig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Figures of the sheet of mll-search: one request in five is for an invoice, the others are searches.
const (
	searchRate    = 90.0
	searchWork    = 15 * time.Millisecond
	searchWait    = 1200 * time.Millisecond
	searchServers = 4
	deskServers   = 7
)

// Times of the case, from the start of the load.
const (
	// slowAt and slowFor bound the spell in which the replicas of one service are slow.
	slowAt  = 6 * time.Second
	slowFor = 8 * time.Second
	// downFor is how long the replicas of that service are down each time.
	downFor = 2 * time.Second
	// steadyAt is when all replicas have been well for over 10 s; popularUntil ends the load.
	steadyAt     = 25 * time.Second
	popularUntil = 55 * time.Second
)

// crashesAt are the times at which all replicas of the service crash.
var crashesAt = []time.Duration{7500 * time.Millisecond, 10500 * time.Millisecond}

const (
	// leastLater is the number of requests on routes that were added later from which the rule CONFIG judges them.
	leastLater = 20
	// starvedShare is the share of the usual service below which the rules CONFIG and Starved are broken.
	starvedShare = 0.25
)

// popularRequest sends the same harmless request again and again, as many users ask for one popular resource, while the
// replicas that serve it are slow and crash a few times. Once they are well again, it must be served again.
func popularRequest(w *world, trouble bool) ([]string, error) {
	w.publish(searchConfig(1, false))
	for i := range searchServers {
		if _, err := w.startServer(serverOptions{service: "plate-cost", zone: zones[i%len(zones)], slots: invoiceSlots, queue: invoiceQueue, work: searchWork, slowness: 1}); err != nil {
			return nil, err
		}
	}
	for i := range deskServers {
		if _, err := w.startInvoiceServer(i, 1); err != nil {
			return nil, err
		}
	}
	if err := w.startNodes(nodeCount); err != nil {
		return nil, err
	}
	c := newClients(w)
	w.run(c.followDirectory)
	w.sleep(time.Second)
	w.publish(searchConfig(2, true))
	w.sleep(stabilityTime)
	began := w.at()
	w.run(func() {
		c.load(func() float64 { return invoiceRate }, began+popularUntil, clientOptions{method: "GET", target: "/invoices/latest", query: restaurant, deadline: invoiceDeadline, retries: 1})
	})
	w.run(func() {
		c.load(func() float64 { return searchRate }, began+popularUntil, clientOptions{method: "GET", target: "/search/shrimp", deadline: searchWait, retries: 1})
	})
	if trouble {
		if err := w.crashDesk(began); err != nil {
			return nil, err
		}
	}
	w.sleep(began + popularUntil + invoiceDeadline - w.at())
	return starved(w, c, began), nil
}

// restaurant returns the query of one of many users: each of them asks for the invoices of another restaurant.
func restaurant() string { return fmt.Sprintf("restaurant=%d", rand.IntN(1_000_000)) }

// searchConfig is a configuration; the route to the invoices is added by its second version.
func searchConfig(version uint64, invoices bool) platformtest.Config {
	config := platformtest.Config{
		Version: version,
		Routes: []platformtest.Route{
			{Name: "search", Host: host, Prefix: "/search/", Kind: platformtest.KindIdempotent, TimeoutMs: searchWait.Milliseconds(), TargetLatencyMs: 120, MaxAttempts: 2, Priority: 1, Service: "plate-cost"},
		},
		Services: []platformtest.Service{{Name: "invoice-desk", HealthPath: "/health", MaxConns: 100}, {Name: "plate-cost", HealthPath: "/health", MaxConns: 100}},
		Limits:   platformtest.DefaultLimits(),
	}
	if invoices {
		config.Routes = append(config.Routes, platformtest.Route{Name: "invoice-fetch", Host: host, Prefix: "/invoices/", Kind: platformtest.KindIdempotent, TimeoutMs: invoiceDeadline.Milliseconds(), TargetLatencyMs: 500, MaxAttempts: 2, Priority: 2, Service: "invoice-desk"})
	}
	return config
}

// crashDesk makes the replicas of invoice-desk slow and crashes all of them a few times.
func (w *world) crashDesk(began time.Duration) error {
	w.sleep(began + slowAt - w.at())
	w.setServiceSlowness("invoice-desk", slowFactor)
	for _, at := range crashesAt {
		w.sleep(began + at - w.at())
		for _, s := range w.servers() {
			if s.service == "invoice-desk" {
				s.exit()
			}
		}
		w.record("all replicas of invoice-desk have crashed")
		crashed := w.servers()
		w.run(func() {
			// The store removes an entry after three heartbeat intervals of silence.
			if w.sleep(3 * heartbeatInterval) {
				for _, s := range crashed {
					if s.service == "invoice-desk" {
						w.store.Remove("servers/" + s.id)
					}
				}
			}
		})
		w.sleep(downFor)
		for i := range deskServers {
			if _, err := w.startInvoiceServer(i, slowFactor); err != nil {
				return err
			}
		}
	}
	w.sleep(began + slowAt + slowFor - w.at())
	w.setServiceSlowness("invoice-desk", 1)
	return nil
}

// served counts the requests of a kind, and those that were served.
type served struct{ asked, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(s.asked, 1)) }

// starved checks the rule CONFIG, for the route that was added later, in the steady state after the trouble, and the rule
// Starved over the whole case. Attempts of one request count as one.
func starved(w *world, c *clients, began time.Duration) (violations []string) {
	var all, later, steadyLater, steadyFirst served
	for _, got := range c.lastAttempts() {
		ok, steady := got.status == 200, got.sentAt > began+steadyAt
		all.add(ok)
		switch isLater := strings.HasPrefix(got.sentTarget, "/invoices/"); {
		case isLater && steady:
			steadyLater.add(ok)
			later.add(ok)
		case isLater:
			later.add(ok)
		case steady:
			steadyFirst.add(ok)
		}
	}
	w.record("whole case: %s of all requests were served, %s of those on the route that was added later", all, later)
	w.record("steady state: %s of the requests on the first route were served, %s of those on the route that was added later", steadyFirst, steadyLater)
	if steadyLater.asked >= leastLater && steadyLater.share() < starvedShare*steadyFirst.share() {
		violations = append(violations, fmt.Sprintf("CONFIG: in steady state the route that was added later was served %s, the first one %s", steadyLater, steadyFirst))
	}
	if later.share() < starvedShare*all.share() {
		violations = append(violations, fmt.Sprintf("Starved: one kind of request was served %s, all requests %s", later, all))
	}
	return violations
}

func (s *served) add(ok bool) {
	s.asked++
	if ok {
		s.served++
	}
}

func (s served) String() string { return fmt.Sprintf("%d of %d", s.served, s.asked) }
