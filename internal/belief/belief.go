// Package belief holds the current state that this node acts on: the accepted
// configuration and the routing view. Reads never block.
package belief

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Config is an accepted revision of the operators' configuration.
type Config struct {
	Revision uint64
	// Digest distinguishes two texts with the same revision.
	Digest  uint64
	Text    []byte
	Catalog *catalog.Catalog
}

// Store holds the current beliefs of one node: what it has accepted or received and acts on.
type Store struct {
	config     atomic.Pointer[Config]
	view       atomic.Pointer[route.View]
	self       route.Node
	draining   atomic.Pointer[map[string]bool]
	pause      pauseWatch
	onDraining atomic.Pointer[func(address string)]
	mutex      sync.Mutex
	listeners  []func()
}

// PauseLimit bounds the age of the last tick of the process. If it is older, the process was
// suspended and its beliefs may have expired.
const PauseLimit = time.Second

// pauseWatch detects that the process was suspended.
type pauseWatch struct {
	paused atomic.Bool
	// lastTick is the time of the last tick, 0 before the first; now reads the same
	// clock.
	lastTick atomic.Int64
	now      atomic.Pointer[func() core.Time]
}

// NewStore returns a store with an empty view and no configuration.
func NewStore() *Store {
	store := &Store{}
	store.view.Store(route.NewView(nil))
	return store
}

// Config returns the current configuration, or nil before the first.
func (s *Store) Config() *Config { return s.config.Load() }

// View returns the routing view.
func (s *Store) View() *route.View { return s.view.Load() }

// SetConfig replaces the configuration and notifies the listeners.
func (s *Store) SetConfig(config *Config) {
	s.config.Store(config)
	s.notify()
}

// SetView replaces the routing view and notifies the listeners.
func (s *Store) SetView(view *route.View) {
	s.view.Store(view)
	s.notify()
}

// SetSelf sets this node's identity. It must be called before the roles start.
func (s *Store) SetSelf(self route.Node) { s.self = self }

// Self returns this node, which may be missing from the view while it leaves.
func (s *Store) Self() route.Node { return s.self }

// Draining reports whether any node saw the upstream draining.
func (s *Store) Draining(address string) bool {
	draining := s.draining.Load()
	return draining != nil && (*draining)[address]
}

// DrainingUpstreams counts the upstreams seen draining.
func (s *Store) DrainingUpstreams() int {
	draining := s.draining.Load()
	if draining == nil {
		return 0
	}
	return len(*draining)
}

// SetDraining replaces the set of upstreams seen draining.
func (s *Store) SetDraining(addresses []string) {
	draining := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		draining[address] = true
	}
	s.draining.Store(&draining)
	s.notify()
}

// OnDrainingReported sets the listener for ReportDraining. It must not block.
func (s *Store) OnDrainingReported(listener func(address string)) {
	s.onDraining.Store(&listener)
}

// ReportDraining reports that an upstream announced its draining in a reply. A reply without
// the announcement proves nothing: it may have been sent before the draining began.
func (s *Store) ReportDraining(address string) {
	listener := s.onDraining.Load()
	if listener != nil && !s.Draining(address) {
		(*listener)(address)
	}
}

// Paused reports whether this node's beliefs may have expired: the process was suspended and has
// not confirmed them since. Roles then send nothing and refuse requests as not run. The age of the
// last tick is checked here too: right after the process resumes, a role may run before the
// membership duty calls SetPaused.
func (s *Store) Paused() bool {
	if s.pause.paused.Load() {
		return true
	}
	now := s.pause.now.Load()
	return now != nil && (*now)()-core.Time(s.pause.lastTick.Load()) > PauseLimit
}

// SetPaused sets whether the process was suspended and has not confirmed its beliefs since.
func (s *Store) SetPaused(paused bool) { s.pause.paused.Store(paused) }

// RecordTick records that the process runs. The first call starts the detection of pauses; a nil
// clock ends it.
func (s *Store) RecordTick(now func() core.Time) {
	if now == nil {
		s.pause.now.Store(nil)
		return
	}
	s.pause.lastTick.Store(int64(now()))
	if s.pause.now.Load() == nil {
		s.pause.now.Store(&now)
	}
}

// OnChange adds a listener that is called after each change, by the goroutine that made the
// change. It must not block.
func (s *Store) OnChange(listener func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

func (s *Store) notify() {
	s.mutex.Lock()
	listeners := s.listeners
	s.mutex.Unlock()
	for _, listener := range listeners {
		listener()
	}
}
