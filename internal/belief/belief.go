// Package belief holds what this node believes at the moment: the accepted
// configuration and the routing view. Readers never wait.
package belief

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Config is an accepted revision of the operators' text.
type Config struct {
	Revision uint64
	// Digest tells two texts under one revision apart.
	Digest  uint64
	Text    []byte
	Catalog *catalog.Catalog
}

// Store holds the present beliefs of one node.
type Store struct {
	config  atomic.Pointer[Config]
	view    atomic.Pointer[route.View]
	self    route.Node
	drains  atomic.Pointer[map[string]bool]
	pause   pauseWatch
	onDrain atomic.Pointer[func(address string)]
	mutex   sync.Mutex
	changed []func()
}

// PauseLimit is how old the last sign of life of the process may be. When it is
// older, the process stood still and what it believes may have expired.
const PauseLimit = time.Second

// pauseWatch tells whether beliefs may be acted on.
type pauseWatch struct {
	paused atomic.Bool
	// alive is the last sign of life, 0 before the first; now reads the same
	// clock.
	alive atomic.Int64
	now   atomic.Pointer[func() core.Time]
}

// NewStore makes a store with an empty view and no configuration.
func NewStore() *Store {
	store := &Store{}
	store.view.Store(route.NewView(nil))
	return store
}

// Config returns the configuration in force, or nil before the first.
func (s *Store) Config() *Config { return s.config.Load() }

// View returns the routing view.
func (s *Store) View() *route.View { return s.view.Load() }

// SetConfig puts a configuration in force and tells the listeners.
func (s *Store) SetConfig(config *Config) {
	s.config.Store(config)
	s.notify()
}

// SetView replaces the routing view and tells the listeners.
func (s *Store) SetView(view *route.View) {
	s.view.Store(view)
	s.notify()
}

// SetSelf says which node this is, before the roles start.
func (s *Store) SetSelf(self route.Node) { s.self = self }

// Self returns this node, which may be missing from the view while it leaves.
func (s *Store) Self() route.Node { return s.self }

// Draining reports whether an upstream was seen draining, by any node.
func (s *Store) Draining(address string) bool {
	drains := s.drains.Load()
	return drains != nil && (*drains)[address]
}

// DrainingUpstreams is the number of upstreams seen draining.
func (s *Store) DrainingUpstreams() int {
	drains := s.drains.Load()
	if drains == nil {
		return 0
	}
	return len(*drains)
}

// SetDraining replaces the set of upstreams seen draining.
func (s *Store) SetDraining(addresses []string) {
	drains := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		drains[address] = true
	}
	s.drains.Store(&drains)
	s.notify()
}

// OnDrainingReported sets who is told of upstreams that a role saw draining. It must
// not block.
func (s *Store) OnDrainingReported(listener func(address string)) {
	s.onDrain.Store(&listener)
}

// ReportDraining says that an upstream's own reply told of its draining. A reply that
// does not say so proves nothing: it may have been on its way before.
func (s *Store) ReportDraining(address string) {
	listener := s.onDrain.Load()
	if listener != nil && !s.Draining(address) {
		(*listener)(address)
	}
}

// Paused reports whether this node's beliefs may have expired: the process
// stood still, and has not confirmed them since. Roles then send nothing and
// refuse what comes as not run. The age of the last sign of life is looked at
// here too: right after a wake a role may run before the duty that would call
// SetPaused.
func (s *Store) Paused() bool {
	if s.pause.paused.Load() {
		return true
	}
	now := s.pause.now.Load()
	return now != nil && (*now)()-core.Time(s.pause.alive.Load()) > PauseLimit
}

// SetPaused says whether the process stood still and has not confirmed its
// beliefs since.
func (s *Store) SetPaused(paused bool) { s.pause.paused.Store(paused) }

// RecordTick notes that the process runs. The first one begins the watch; a nil
// clock ends it.
func (s *Store) RecordTick(now func() core.Time) {
	if now == nil {
		s.pause.now.Store(nil)
		return
	}
	s.pause.alive.Store(int64(now()))
	if s.pause.now.Load() == nil {
		s.pause.now.Store(&now)
	}
}

// OnChange adds a listener. It is called after each change, from the changing
// goroutine, and must not block.
func (s *Store) OnChange(listener func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changed = append(s.changed, listener)
}

func (s *Store) notify() {
	s.mutex.Lock()
	listeners := s.changed
	s.mutex.Unlock()
	for _, listener := range listeners {
		listener()
	}
}
