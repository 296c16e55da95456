// Package standin holds small stand-ins for the outside systems: the platform
// and upstreams. They exist for trials and tests.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/platform"
)

const headerTimeout = 5 * time.Second

// Platform stands in for the configuration service and the VM list.
type Platform struct {
	mutex   sync.Mutex
	config  platform.Config
	vms     platform.VMList
	changed chan struct{}
	reads   int
	down    bool
	server  *http.Server
	address string
}

// StartPlatform serves a platform on the address; port 0 takes a free one.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathConfig, p.serveConfig)
	mux.HandleFunc("GET "+platform.PathVMs, p.serveVMs)
	var err error
	p.server, p.address, err = serve(address, mux)
	return p, err
}

// serve listens on the address and serves in the background.
func serve(address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, "", err
	}
	server, used := serveOn(listener, handler)
	return server, used, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeAddress, Message: "cannot listen on " + address, Fix: "choose a free address", Cause: err}
	}
	return listener, nil
}

func serveOn(listener net.Listener, handler http.Handler) (*http.Server, string) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
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
	p.config = platform.Config{Revision: p.config.Revision + 1, Text: text}
	p.wake()
	return p.config.Revision
}

// SetConfig sets a revision and text as they are, also an older one.
func (p *Platform) SetConfig(config platform.Config) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.config = config
	p.wake()
}

// SetVMs sets the VM list.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms = platform.VMList{Sequence: p.vms.Sequence + 1, VMs: vms}
	p.wake()
}

// SetDown makes every call fail while down is set.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	p.wake()
}

// Reads counts the calls so far.
func (p *Platform) Reads() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func() (uint64, any) { return p.config.Revision, p.config })
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, func() (uint64, any) { return p.vms.Sequence, p.vms })
}

// serveWatch answers at once, or with a wait when something newer is there.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, read func() (uint64, any)) {
	after, _ := strconv.ParseUint(r.URL.Query().Get(platform.ParamAfter), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get(platform.ParamWait))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	p.mutex.Lock()
	p.reads++
	p.mutex.Unlock()
	for {
		p.mutex.Lock()
		number, value := read()
		down, changed := p.down, p.changed
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
