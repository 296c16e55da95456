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

// DefaultReadsPerSecond is what the platform's service answers to all readers
// together.
const DefaultReadsPerSecond = 2000

// PlatformBehaviour is how the stand-in platform acts.
type PlatformBehaviour struct {
	// Down makes every call fail.
	Down bool `yaml:"down"`
	// Era is told in every answer: how often the service came back from a copy. 0 tells none.
	Era uint64 `yaml:"era"`
	// FreezeConfig and FreezeVMs keep answering what was there when they were
	// set, whatever is published meanwhile.
	FreezeConfig bool `yaml:"freeze_config"`
	FreezeVMs    bool `yaml:"freeze_vms"`
	// Lag delays when something published can be read.
	Lag time.Duration `yaml:"lag"`
	// ReadsPerSecond is the rate above which calls get status 429; 0 takes
	// DefaultReadsPerSecond.
	ReadsPerSecond int `yaml:"reads_per_second"`
}

// MarshalJSON writes the keys and values that the control interface reads.
func (b PlatformBehaviour) MarshalJSON() ([]byte, error) { return yamlAsJSON(b) }

// PlatformCounts is what a stand-in platform has seen. A watch is one read.
type PlatformCounts struct {
	Reads int `json:"reads"`
	// Limited counts the reads above the rate, Failed those while down.
	Limited int `json:"limited"`
	Failed  int `json:"failed"`
}

// Platform stands in for the configuration service and the VM list. Readers can
// only read and watch; tests publish by its methods or the control interface.
type Platform struct {
	mutex     sync.Mutex
	config    state[confservice.Config]
	vms       state[confservice.VMList]
	changed   chan struct{}
	behaviour PlatformBehaviour
	counts    PlatformCounts
	limiter   *rate.Limiter
	server    *http.Server
	address   string
}

// state is a published value and what readers see of it.
type state[T any] struct {
	published T
	visible   T
}

// StartPlatform serves a platform on the address; port 0 takes a free one.
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

// Address is the address in use.
func (p *Platform) Address() string { return p.address }

// URL is the base URL for settings.
func (p *Platform) URL() string { return "http://" + p.address }

// Close ends the stand-in at once.
func (p *Platform) Close() error { return p.server.Close() }

// Publish sets the operators' text as the next revision and returns it.
func (p *Platform) Publish(text string) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.config.published = confservice.Config{Revision: p.config.published.Revision + 1, Text: text}
	p.show()
	return p.config.published.Revision
}

// SetConfig sets a revision and text as they are, also an older one.
func (p *Platform) SetConfig(config confservice.Config) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.config.published = config
	p.show()
}

// SetVMs sets the VM list.
func (p *Platform) SetVMs(vms []confservice.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms.published = confservice.VMList{Sequence: p.vms.published.Sequence + 1, VMs: vms}
	p.show()
}

// SetDown makes every call fail while down is set.
func (p *Platform) SetDown(down bool) {
	p.Change(func(b *PlatformBehaviour) { b.Down = down })
}

// Change alters the behaviour.
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

// Behaviour returns the present behaviour.
func (p *Platform) Behaviour() PlatformBehaviour {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.behaviour
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// Reads counts the calls so far.
func (p *Platform) Reads() int { return p.Counts().Reads }

// show lets readers see what is published, after the lag.
func (p *Platform) show() {
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

// reveal makes the published values visible, but for frozen ones, and wakes the
// waiting watches.
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

// serveWatch answers at once, or with a wait when something else is there.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, read func() (uint64, any)) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(confservice.ParamAfter), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get(confservice.ParamWait))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	if !p.take() {
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

// take counts a read and reports whether it is within the rate.
func (p *Platform) take() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Reads++
	allowed := p.limiter.Allow()
	if !allowed {
		p.counts.Limited++
	}
	return allowed
}
