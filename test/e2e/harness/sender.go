package harness

import (
	"context"
	"sync"
	"testing"

	"github.com/pistachiopier/pistachiopier/internal/client"
)

// sender is the common part of Load and Invoices: goroutines that send requests until
// stopped, to the entries in turn.
type sender struct {
	t      testing.TB
	client *client.Client
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mutex   sync.Mutex
	entries []string
	next    int
}

func newSender(t testing.TB, entries []string) *sender {
	ctx, stop := context.WithCancel(context.Background())
	return &sender{t: t, client: client.New(), ctx: ctx, stop: stop, entries: entries}
}

// start runs the function once for each caller, concurrently.
func (s *sender) start(callers int, call func(ctx context.Context, caller int)) {
	for caller := range callers {
		s.done.Go(func() { call(s.ctx, caller) })
	}
}

// UseEntries replaces the entries that receive requests.
func (s *sender) UseEntries(entries ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries = entries
}

// stopAndWait stops the callers and waits for them.
func (s *sender) stopAndWait() {
	s.stop()
	s.done.Wait()
	s.client.Close()
}

// nextEntryLocked returns the next entry; the mutex must be held.
func (s *sender) nextEntryLocked() string {
	s.next++
	return s.entries[s.next%len(s.entries)]
}
