package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Behaviour is how a stand-in upstream acts. It may be changed at any time.
type Behaviour struct {
	// Slots is how many requests run at once; more are shed. 0 is no limit.
	Slots int
	// Service is the time one request takes.
	Service time.Duration
	// Draw, when set, gives each request's time in place of Service.
	Draw func() time.Duration
	// Versions are the index versions it has; the last is the newest.
	Versions []uint64
	Draining bool
	// Silent makes it take requests and never answer.
	Silent bool
}

// Upstream stands in for one replica of any shard.
type Upstream struct {
	mutex     sync.Mutex
	behaviour Behaviour
	running   int
	queries   int
	received  int
	submits   map[string]int
	server    *http.Server
	address   string
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
	u := &Upstream{behaviour: behaviour, submits: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathPrefix+"{service}/{shard}/{verb}", u.serve)
	// The health endpoint misleads, as those of real upstreams do: it says that
	// all is well as long as the process lives.
	mux.HandleFunc("GET "+upstream.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	u.server, u.address = serveOn(listener, mux)
	return u
}

// Address is the address in use.
func (u *Upstream) Address() string { return u.address }

// Close ends the stand-in at once.
func (u *Upstream) Close() error { return u.server.Close() }

// Change alters the behaviour.
func (u *Upstream) Change(alter func(*Behaviour)) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	alter(&u.behaviour)
}

// Queries counts the queries run.
func (u *Upstream) Queries() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.queries
}

// Received counts the requests that arrived, refused ones included.
func (u *Upstream) Received() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.received
}

// Submits counts, for each key, how often a submit ran.
func (u *Upstream) Submits() map[string]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	counts := make(map[string]int, len(u.submits))
	for key, count := range u.submits {
		counts[key] = count
	}
	return counts
}

// reply is the part that a stand-in returns.
type reply struct {
	Service string `json:"service"`
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Replica string `json:"replica"`
	Seen    int    `json:"dependencies_seen"`
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	var body upstream.Body
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	behaviour, refusal := u.begin(r)
	w.Header().Set(upstream.HeaderVersions, joinVersions(behaviour.Versions))
	if behaviour.Draining {
		w.Header().Set(upstream.HeaderDraining, "true")
	}
	if refusal != "" {
		w.Header().Set(upstream.HeaderNotRun, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	if !work(r, behaviour) {
		return
	}
	version := wantedVersion(r, behaviour.Versions)
	w.Header().Set(upstream.HeaderVersion, strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply{
		Service: r.PathValue("service"),
		Shard:   r.PathValue("shard"),
		Version: version,
		Replica: u.address,
		Seen:    len(body.Dependencies),
	})
}

// begin admits a request or names the reason it does not run.
func (u *Upstream) begin(r *http.Request) (Behaviour, string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.received++
	behaviour := u.behaviour
	behaviour.Versions = slices.Clone(u.behaviour.Versions)
	switch {
	case behaviour.Draining:
		return behaviour, upstream.NotRunDraining
	case behaviour.Slots > 0 && u.running >= behaviour.Slots:
		return behaviour, upstream.NotRunOverloaded
	case wantedVersion(r, behaviour.Versions) == 0:
		return behaviour, upstream.NotRunVersion
	}
	u.running++
	if r.PathValue("verb") == upstream.VerbSubmit {
		u.submits[r.Header.Get(upstream.HeaderSubmitKey)]++
	} else {
		u.queries++
	}
	return behaviour, ""
}

func (u *Upstream) end() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
}

// work takes the service time; false when the caller has gone.
func work(r *http.Request, behaviour Behaviour) bool {
	if behaviour.Silent {
		<-r.Context().Done()
		return false
	}
	service := behaviour.Service
	if behaviour.Draw != nil {
		service = behaviour.Draw()
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// wantedVersion is the version to answer from, or 0 when it is not there.
func wantedVersion(r *http.Request, versions []uint64) uint64 {
	wanted, err := strconv.ParseUint(r.Header.Get(upstream.HeaderVersion), 10, 64)
	if err != nil || wanted == 0 {
		return versions[len(versions)-1]
	}
	if slices.Contains(versions, wanted) {
		return wanted
	}
	return 0
}

func joinVersions(versions []uint64) string {
	texts := make([]string, len(versions))
	for i, version := range versions {
		texts[i] = strconv.FormatUint(version, 10)
	}
	return strings.Join(texts, ",")
}
