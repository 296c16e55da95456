package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
)

// DefaultReadsPerSecond is the rate limit of the platform's service over all
// readers together.
const DefaultReadsPerSecond = 2000

// PlatformBehaviour configures the stand-in platform.
type PlatformBehaviour struct {
	// Down makes every call fail.
	Down bool `yaml:"down"`
	// Era is the number of times the service was restored from a backup. It is sent
	// in a header of every response but status 429. 0 sends none.
	Era uint64 `yaml:"era"`
	// FreezeConfig and FreezeVMs keep returning the value visible when they were
	// set, although newer ones are published.
	FreezeConfig bool `yaml:"freeze_config"`
	FreezeVMs    bool `yaml:"freeze_vms"`
	// Lag is the delay until readers see a published value.
	Lag time.Duration `yaml:"lag"`
	// ReadsPerSecond is the rate above which reads get status 429; 0 selects
	// DefaultReadsPerSecond.
	ReadsPerSecond int `yaml:"reads_per_second"`
}

// MarshalJSON writes the form that the control interface reads.
func (b PlatformBehaviour) MarshalJSON() ([]byte, error) { return yamlAsJSON(b) }

// PlatformCounts are the counters of a stand-in platform. A watch counts as one read.
type PlatformCounts struct {
	Reads int `json:"reads"`
	// Limited counts the reads refused by the rate limit, Failed those refused while down.
	Limited int `json:"limited"`
	Failed  int `json:"failed"`
}

// Platform stands in for the configuration service and the VM list. Its HTTP
// interface is read-only; tests publish through its methods or the control interface.
type Platform struct {
	mutex     sync.Mutex
	config    watchedValue[confservice.Config]
	vms       watchedValue[confservice.VMList]
	changed   chan struct{}
	behaviour PlatformBehaviour
	counts    PlatformCounts
	limiter   *rate.Limiter
	server    *http.Server
	address   string
}

// watchedValue holds the latest published value and the one that readers see.
type watchedValue[T any] struct {
	published T
	visible   T
}

// StartPlatform serves a platform on the address; port 0 selects a free port.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{
		changed: make(chan struct{}),
		limiter: rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+confservice.PathConfig, p.serveConfig)
	mux.HandleFunc("GET "+confservice.PathVMs, p.serveVMs)
	var err error
	p.server, p.address, err = serve(address, mux)
	return p, err
}

// Address returns the address that it listens on.
func (p *Platform) Address() string { return p.address }

// URL returns the base URL to use in settings.
func (p *Platform) URL() string { return "http://" + p.address }

// Close stops the stand-in at once and closes its connections.
func (p *Platform) Close() error { return p.server.Close() }

// Publish publishes the configuration text under the next revision and returns that revision.
func (p *Platform) Publish(text string) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.config.published = confservice.Config{Revision: p.config.published.Revision + 1, Text: text}
	p.scheduleReveal()
	return p.config.published.Revision
}

// SetConfig publishes the configuration unchanged, even with an older revision.
func (p *Platform) SetConfig(config confservice.Config) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.config.published = config
	p.scheduleReveal()
}

// SetVMs publishes the VM list under the next sequence number.
func (p *Platform) SetVMs(vms []confservice.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms.published = confservice.VMList{Sequence: p.vms.published.Sequence + 1, VMs: vms}
	p.scheduleReveal()
}

// SetDown makes every read fail while down is true.
func (p *Platform) SetDown(down bool) {
	p.Change(func(b *PlatformBehaviour) { b.Down = down })
}

// Change applies a function to the behaviour.
func (p *Platform) Change(alter func(*PlatformBehaviour)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.behaviour
	alter(&p.behaviour)
	if p.behaviour.ReadsPerSecond != before.ReadsPerSecond {
		p.setRate()
	}
	p.reveal()
}

func (p *Platform) setRate() {
	reads := p.behaviour.ReadsPerSecond
	if reads == 0 {
		reads = DefaultReadsPerSecond
	}
	p.limiter.SetLimit(rate.Limit(reads))
	p.limiter.SetBurst(reads)
}

// Behaviour returns the current behaviour.
func (p *Platform) Behaviour() PlatformBehaviour {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.behaviour
}

// Counts returns a copy of the counters.
func (p *Platform) Counts() PlatformCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// Reads returns the number of reads so far.
func (p *Platform) Reads() int { return p.Counts().Reads }

// scheduleReveal makes the published values visible after the lag.
func (p *Platform) scheduleReveal() {
	if p.behaviour.Lag <= 0 {
		p.reveal()
		return
	}
	time.AfterFunc(p.behaviour.Lag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.reveal()
	})
}

// reveal makes the published values visible, except frozen ones, and wakes all
// watches.
func (p *Platform) reveal() {
	if !p.behaviour.FreezeConfig {
		p.config.visible = p.config.published
	}
	if !p.behaviour.FreezeVMs {
		p.vms.visible = p.vms.published
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func() (uint64, any) { return p.config.visible.Revision, p.config.visible })
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func() (uint64, any) { return p.vms.visible.Sequence, p.vms.visible })
}

// serveWatch replies at once, or with a wait as soon as the value's number differs
// from the reader's; it replies 304 when the wait ends first.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, read func() (uint64, any)) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(confservice.ParamAfter), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get(confservice.ParamWait))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	if !p.countRead() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	for {
		p.mutex.Lock()
		number, value := read()
		down, changed := p.behaviour.Down, p.changed
		if p.behaviour.Era > 0 {
			w.Header().Set(confservice.HeaderEra, strconv.FormatUint(p.behaviour.Era, 10))
		}
		if down {
			p.counts.Failed++
		}
		p.mutex.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if number != after || waitMs == 0 {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(value)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// countRead counts a read and reports whether it is within the rate limit.
func (p *Platform) countRead() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Reads++
	allowed := p.limiter.Allow()
	if !allowed {
		p.counts.Limited++
	}
	return allowed
}
