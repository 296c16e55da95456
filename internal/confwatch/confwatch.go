// Package confwatch watches the configuration service and puts each accepted
// revision in force. Revisions only go up: an older reading is never adopted,
// and an invalid one leaves the former in force.
package confwatch

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/platform"
)

const (
	watchWait = 20 * time.Second
	pauseLow  = 100 * time.Millisecond
)

// Watcher follows the configuration service for one node.
type Watcher struct {
	client *platform.Client
	store  *belief.Store
	log    logrus.FieldLogger
	stop   context.CancelFunc
	done   sync.WaitGroup
	seen   uint64
}

// Start begins watching; Close ends it.
func Start(client *platform.Client, store *belief.Store, log logrus.FieldLogger) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &Watcher{client: client, store: store, log: log, stop: stop}
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		w.run(ctx)
	}()
	return w
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := watchWait
		if w.seen == 0 {
			wait = 0
		}
		read, changed, err := w.client.ReadConfig(ctx, w.seen, wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.log.WithError(err).WithField("event", "config_read_failed").Warn("configuration service not read")
			pause(ctx, pauseLow)
		case !changed || read.Revision <= w.seen:
			pause(ctx, pauseLow)
		default:
			w.seen = read.Revision
			w.adopt(read)
		}
	}
}

func (w *Watcher) adopt(read platform.Config) {
	log := w.log.WithField("revision", read.Revision)
	parsed, err := catalog.Parse([]byte(read.Text))
	if err != nil {
		log.WithError(err).WithField("event", "config_refused").Error("revision refused; the former stays in force")
		return
	}
	w.store.SetConfig(&belief.Config{
		Revision: read.Revision,
		Digest:   xxhash.Sum64String(read.Text),
		Text:     []byte(read.Text),
		Catalog:  parsed,
	})
	log.WithField("event", "config_in_force").Info("revision in force")
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
