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

// PathLoad is an upstream's own word on its load. Like that on its health it may
// lag or mislead.
const PathLoad = "/v1/load"

// Upstream stands in for one replica of any shard.
type Upstream struct {
	mutex     sync.Mutex
	behaviour Behaviour
	counts    Counts
	random    *rand.Rand
	coldUntil time.Time
	report    report
	gate      *gate
	server    *http.Server
}

// StartUpstream serves a replica on the address; port 0 takes a free one.
func StartUpstream(address string, behaviour Behaviour) (*Upstream, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	return StartUpstreamOn(listener, behaviour), nil
}

// StartUpstreamOn serves a replica on a listener, which it closes at its end.
func StartUpstreamOn(listener net.Listener, behaviour Behaviour) *Upstream {
	u := &Upstream{counts: newCounts()}
	u.set(behaviour)
	u.gate = newGate(u, listener)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathPrefix+"{service}/{shard}/{verb}", u.serve)
	mux.HandleFunc("GET "+upstream.PathHealth, u.serveHealth)
	mux.HandleFunc("GET "+PathLoad, u.serveLoad)
	u.server = serveOn(u.gate, mux)
	return u
}

// Address is the address in use.
func (u *Upstream) Address() string { return u.gate.address }

// Close ends the stand-in at once.
func (u *Upstream) Close() error { return u.server.Close() }

// Behaviour returns a copy of the present behaviour.
func (u *Upstream) Behaviour() Behaviour {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.behaviour.clone()
}

// Change alters the behaviour.
func (u *Upstream) Change(alter func(*Behaviour)) {
	behaviour := u.Behaviour()
	alter(&behaviour)
	u.set(behaviour)
	u.gate.adjust()
}

// set takes a behaviour over. A changed seed restarts the draws and a changed
// cold start makes the replica cold.
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

// Counts returns a copy of the counts.
func (u *Upstream) Counts() Counts {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.counts.clone()
}

// Queries counts the queries run.
func (u *Upstream) Queries() int { return u.Counts().Queries }

// Received counts the requests that arrived, refused ones included.
func (u *Upstream) Received() int { return u.Counts().Arrived }

// Submits counts, for each key, how often a submit ran.
func (u *Upstream) Submits() map[string]int { return u.Counts().Submits }

// connectionOpened counts a new connection; false when it is over the limit.
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
// connections are not even accepted.
func (u *Upstream) refusesConnections() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	b := u.behaviour
	return b.RefuseConnections && b.Connections > 0 && u.counts.Open >= b.Connections
}

// plan is what happens to one request, drawn when it begins.
type plan struct {
	service time.Duration
	late    time.Duration
	fail    bool
	crossed bool
	cut     bool
	never   bool
}

// begin admits a request or names the reason it does not run.
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
		return refusedShard
	case b.Draining:
		return upstream.NotRunDraining
	case b.HonourDeadline && timeLeft(r) < p.service:
		return upstream.NotRunDeadline
	case b.Slots > 0 && u.counts.Running >= b.Slots, u.hit(b.ShedShare):
		return upstream.NotRunOverloaded
	case wantedVersion(r, b.Versions) == 0:
		return upstream.NotRunVersion
	}
	return ""
}

// draw decides one request's fate. Shares of 0 draw nothing, so that one
// fault's sequence does not depend on the others being off.
func (u *Upstream) draw() plan {
	b := &u.behaviour
	p := plan{service: b.Service}
	if b.DrawService != nil {
		p.service = b.DrawService()
	}
	if time.Now().Before(u.coldUntil) {
		p.service += b.ColdExtra
	}
	if u.hit(b.StragglerShare) {
		p.service += b.StragglerExtra
	}
	if u.hit(b.LateShare) {
		p.late = b.LateBy
	}
	p.fail = u.hit(b.FailShare)
	p.crossed = u.hit(b.CrossedShare)
	p.cut = u.hit(b.CutShare)
	p.never = b.Silent || u.hit(b.NeverShare)
	return p
}

func (u *Upstream) hit(share float64) bool {
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

func timeLeft(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(upstream.HeaderTimeLeft), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// StartUpstreams serves replicas on the address and the ports that follow it;
// with port 0 each takes a free one. Seeds follow each other too, so that the
// replicas' faults do not fall together.
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
			for _, one := range list {
				_ = one.Close()
			}
			return nil, err
		}
		behaviour.Seed++
		list = append(list, u)
	}
	return list, nil
}
