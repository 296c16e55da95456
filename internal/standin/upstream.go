package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// PathLoad is the endpoint where an upstream reports its load. Like its reported
// health, the value may be stale or wrong.
const PathLoad = "/v1/load"

// Upstream stands in for one replica, which serves any shard.
type Upstream struct {
	mutex     sync.Mutex
	behaviour Behaviour
	counts    Counts
	random    *rand.Rand
	coldUntil time.Time
	report    report
	listener  *limitListener
	server    *http.Server
}

// StartUpstream serves a replica on the address; port 0 selects a free port.
func StartUpstream(address string, behaviour Behaviour) (*Upstream, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return StartUpstreamOn(listener, behaviour), nil
}

// StartUpstreamOn serves a replica on the listener and closes it with the replica.
func StartUpstreamOn(listener net.Listener, behaviour Behaviour) *Upstream {
	u := &Upstream{counts: newCounts()}
	u.set(behaviour)
	u.listener = newLimitListener(u, listener)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathPrefix+"{service}/{shard}/{verb}", u.serve)
	mux.HandleFunc("GET "+upstream.PathHealth, u.serveHealth)
	mux.HandleFunc("GET "+PathLoad, u.serveLoad)
	u.server = serveOn(u.listener, mux)
	return u
}

// Address returns the address that it listens on.
func (u *Upstream) Address() string { return u.listener.address }

// Close stops the stand-in at once and closes its connections.
func (u *Upstream) Close() error { return u.server.Close() }

// Behaviour returns a copy of the current behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.behaviour.clone()
}

// Change applies a function to the behaviour.
func (u *Upstream) Change(alter func(*Behaviour)) {
	behaviour := u.Behaviour()
	alter(&behaviour)
	u.set(behaviour)
	u.listener.applyLimit()
}

// set replaces the behaviour. A changed Seed restarts the random sequence, a
// changed ColdStart begins a new cold start.
func (u *Upstream) set(behaviour Behaviour) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.random == nil || behaviour.Seed != u.behaviour.Seed {
		u.random = rand.New(rand.NewPCG(behaviour.Seed, behaviour.Seed))
	}
	if behaviour.ColdStart != u.behaviour.ColdStart {
		u.coldUntil = time.Now().Add(behaviour.ColdStart)
	}
	u.behaviour = behaviour.clone()
}

// Counts returns a copy of the counters.
func (u *Upstream) Counts() Counts {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.counts.clone()
}

// Queries returns the number of queries run.
func (u *Upstream) Queries() int { return u.Counts().Queries }

// Received returns the number of requests received, including refused ones.
func (u *Upstream) Received() int { return u.Counts().Arrived }

// Submits returns the number of runs of each submit key.
func (u *Upstream) Submits() map[string]int { return u.Counts().Submits }

// connectionOpened counts a new connection; false when it exceeds the limit.
func (u *Upstream) connectionOpened() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.behaviour.Connections > 0 && u.counts.Open >= u.behaviour.Connections {
		u.counts.Rejected++
		return false
	}
	u.counts.Opened++
	u.counts.Open++
	u.counts.PeakOpen = max(u.counts.PeakOpen, u.counts.Open)
	return true
}

func (u *Upstream) connectionClosed() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.counts.Open--
}

// refusesConnections reports whether the limit is reached and further
// connections are to be refused rather than accepted and closed.
func (u *Upstream) refusesConnections() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	b := u.behaviour
	return b.RefuseConnections && b.Connections > 0 && u.counts.Open >= b.Connections
}

// plan is the service time and the faults of one request, drawn when it arrives.
type plan struct {
	service   time.Duration
	late      time.Duration
	fail      bool
	crossed   bool
	truncated bool
	noReply   bool
}

// begin admits a request or returns the reason for its refusal.
func (u *Upstream) begin(r *http.Request) (b Behaviour, p plan, refusal string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.counts.Arrived++
	b = u.behaviour.clone()
	p = u.draw()
	refusal = u.refusal(r, p)
	if refusal != "" {
		u.counts.Refused[refusal]++
		return b, p, refusal
	}
	u.counts.Running++
	u.counts.PeakRunning = max(u.counts.PeakRunning, u.counts.Running)
	if r.PathValue("verb") == upstream.VerbSubmit {
		u.counts.Submits[r.Header.Get(upstream.HeaderSubmitKey)]++
	} else {
		u.counts.Queries++
	}
	return b, p, ""
}

func (u *Upstream) refusal(r *http.Request, p plan) string {
	b := &u.behaviour
	switch {
	case !servesShard(b.Shards, r.PathValue("service")+"/"+r.PathValue("shard")):
		return refusedUnknownShard
	case b.Draining:
		return upstream.NotRunDraining
	case b.HonourDeadline && remainingTime(r) < p.service:
		return upstream.NotRunDeadline
	case b.Slots > 0 && u.counts.Running >= b.Slots, u.occurs(b.ShedShare):
		return upstream.NotRunOverloaded
	case wantedVersion(r, b.Versions) == 0:
		return upstream.NotRunVersion
	}
	return ""
}

// draw draws the plan of one request. Shares of 0 draw no random number, so that
// disabled faults do not change the sequence of the enabled ones.
func (u *Upstream) draw() plan {
	b := &u.behaviour
	p := plan{service: b.Service}
	if b.DrawService != nil {
		p.service = b.DrawService()
	}
	if time.Now().Before(u.coldUntil) {
		p.service += b.ColdExtra
	}
	if u.occurs(b.StragglerShare) {
		p.service += b.StragglerExtra
	}
	if u.occurs(b.LateShare) {
		p.late = b.LateBy
	}
	p.fail = u.occurs(b.FailShare)
	p.crossed = u.occurs(b.CrossedShare)
	p.truncated = u.occurs(b.CutShare)
	p.noReply = b.Silent || u.occurs(b.NeverShare)
	return p
}

func (u *Upstream) occurs(share float64) bool {
	return share > 0 && u.random.Float64() < share
}

func (u *Upstream) end(cancelled bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.counts.Running--
	if cancelled {
		u.counts.Cancelled++
	}
}

func remainingTime(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderTimeLeft), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// StartUpstreams serves replicas on the address and the consecutive ports; with
// port 0 each selects a free one. Seeds are consecutive too, so that the faults
// of the replicas are independent.
func StartUpstreams(address string, replicas int, behaviour Behaviour) ([]*Upstream, error) {
	first, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeAddress, Message: address + " is not IP:PORT", Fix: "write an address such as 127.0.0.1:0", Cause: err}
	}
	var list []*Upstream
	for i := range replicas {
		port := first.Port()
		if port != 0 {
			port += uint16(i)
		}
		u, err := StartUpstream(netip.AddrPortFrom(first.Addr(), port).String(), behaviour)
		if err != nil {
			for _, started := range list {
				_ = started.Close()
			}
			return nil, err
		}
		behaviour.Seed++
		list = append(list, u)
	}
	return list, nil
}
