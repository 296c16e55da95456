package confwatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// readCommand requests one service read from the reading goroutine.
type readCommand struct {
	ctx   context.Context
	after uint64
	wait  time.Duration
	have  config.Mark
}

// startRead starts a service read. The follower has at most one open.
func (w *Watcher) startRead(wait time.Duration) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancelRead = cancel
	observe.Counter(w.Metrics, "config_service_reads_total").Inc(1)
	w.commands.TryPut(readCommand{ctx: ctx, after: w.machine.WatchAfter(), wait: wait, have: w.machine.InForce()})
}

// readService carries out the read commands, which may wait for the service.
func (w *Watcher) readService() {
	defer w.done.Done()
	for {
		select {
		case <-w.ctx.Done():
			return
		case command := <-w.commands.Items():
			_ = w.events.Put(w.ctx, w.readConfig(command))
		}
	}
}

// serviceReadEnded is the result of a service read; reading is nil when there was
// nothing new.
type serviceReadEnded struct {
	reading *config.Reading
	err     error
	// cancelled is set when this node cancelled the read.
	cancelled bool
}

func (w *Watcher) readConfig(command readCommand) serviceReadEnded {
	read, changed, err := w.Service.ReadConfig(command.ctx, command.after, command.wait)
	switch {
	case command.ctx.Err() != nil:
		return serviceReadEnded{cancelled: true}
	case err != nil || !changed:
		return serviceReadEnded{err: err}
	}
	mark := config.Mark{Revision: read.Revision, Digest: xxhash.Sum64String(read.Text)}
	if mark == command.have {
		return serviceReadEnded{reading: &config.Reading{Mark: mark, Source: config.FromService}}
	}
	return serviceReadEnded{reading: parseReading(mark, []byte(read.Text), config.FromService)}
}

// parseReading parses a text. The reading of an invalid one has the fault and no catalog.
func parseReading(mark config.Mark, text []byte, source config.Source) *config.Reading {
	reading := &config.Reading{Mark: mark, Source: source, Text: text}
	parsed, err := catalog.Parse(text)
	if err != nil {
		reading.Fault = err.Error()
		return reading
	}
	reading.Catalog = parsed
	return reading
}

func (r serviceReadEnded) apply(w *Watcher) {
	w.cancelRead()
	now := w.Now()
	switch {
	case r.cancelled:
	case r.err != nil:
		w.logReadFailure(r.err)
		w.act(w.machine.ServiceFailed(now))
	case r.reading == nil:
		w.serviceFailed = false
		w.act(w.machine.ServiceAnswered(now))
	default:
		w.serviceFailed = false
		w.act(w.machine.Offer(now, r.reading))
	}
	w.follow(w.follower.ReadEnded(now, r.err == nil && !r.cancelled))
}

// logReadFailure logs only the first of consecutive failures. A long outage is
// reported as a problem instead of in thousands of log lines.
func (w *Watcher) logReadFailure(err error) {
	if !w.serviceFailed {
		w.Log.WithError(err).WithField("event", "config_read_failed").Warn("configuration service could not be read")
	}
	w.serviceFailed = true
}
