package harness

import (
	"context"
	"sync"
	"testing"

	"github.com/pistachiopier/pistachiopier/internal/client"
)

// sender is what the kinds of load have in common: goroutines that send until they are
// stopped, each request through the next of some entries.
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

// start runs so many callers; each ends with its function.
func (s *sender) start(callers int, call func(ctx context.Context, caller int)) {
	for caller := range callers {
		s.done.Go(func() { call(s.ctx, caller) })
	}
}

// UseEntries replaces the entries to send through.
func (s *sender) UseEntries(entries ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries = entries
}

// end stops the callers and waits for them.
func (s *sender) end() {
	s.stop()
	s.done.Wait()
	s.client.Close()
}

// turn takes the next entry; the mutex must be held.
func (s *sender) turn() string {
	s.next++
	return s.entries[s.next%len(s.entries)]
}
