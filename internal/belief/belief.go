// Package belief holds what this node believes at the moment: the accepted
// configuration and the routing view. Readers never wait.
package belief

import (
	"sync"
	"sync/atomic"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
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
	mutex   sync.Mutex
	changed []func()
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
