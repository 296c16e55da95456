package confwatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// readCommand asks the reading goroutine for one service read.
type readCommand struct {
	ctx   context.Context
	after uint64
	wait  time.Duration
	have  config.Mark
}

// startRead begins a service read. The follower has at most one open.
func (w *Watcher) startRead(wait time.Duration) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancelRead = cancel
	observe.Counter(w.Metrics, "config_service_reads_total").Inc(1)
	w.commands.TryPut(readCommand{ctx: ctx, after: w.machine.WatchAfter(), wait: wait, have: w.machine.InForce()})
}

// readService is the duty that waits for the service.
func (w *Watcher) readService() {
	defer w.done.Done()
	for {
		select {
		case <-w.ctx.Done():
			return
		case command := <-w.commands.Items():
			_ = w.events.Put(w.ctx, w.readOnce(command))
		}
	}
}

// serviceRead is the end of a service read; reading is nil when there was
// nothing new.
type serviceRead struct {
	reading *config.Reading
	err     error
	// withdrawn is set when this node gave the read up itself.
	withdrawn bool
}

func (w *Watcher) readOnce(command readCommand) serviceRead {
	read, changed, err := w.Service.ReadConfig(command.ctx, command.after, command.wait)
	switch {
	case command.ctx.Err() != nil:
		return serviceRead{withdrawn: true}
	case err != nil || !changed:
		return serviceRead{err: err}
	}
	mark := config.Mark{Revision: read.Revision, Digest: xxhash.Sum64String(read.Text)}
	if mark == command.have {
		return serviceRead{reading: &config.Reading{Mark: mark, Source: config.FromService}}
	}
	return serviceRead{reading: judge(mark, []byte(read.Text), config.FromService)}
}

// judge parses a text.
func judge(mark config.Mark, text []byte, source config.Source) *config.Reading {
	reading := &config.Reading{Mark: mark, Source: source, Text: text}
	parsed, err := catalog.Parse(text)
	if err != nil {
		reading.Fault = err.Error()
		return reading
	}
	reading.Catalog = parsed
	return reading
}

func (r serviceRead) apply(w *Watcher) {
	w.cancelRead()
	now := w.Now()
	switch {
	case r.withdrawn:
	case r.err != nil:
		w.noteReadFailed(r.err)
		w.act(w.machine.ServiceFailed(now))
	case r.reading == nil:
		w.readFailed = false
		w.act(w.machine.ServiceAnswered(now))
	default:
		w.readFailed = false
		w.act(w.machine.Offer(now, r.reading))
	}
	w.follow(w.follower.ReadEnded(now, r.err == nil && !r.withdrawn))
}

// noteReadFailed logs the first failure of a row: a service that is down all
// night is a problem in the register, not a thousand lines.
func (w *Watcher) noteReadFailed(err error) {
	if !w.readFailed {
		w.Log.WithError(err).WithField("event", "config_read_failed").Warn("configuration service not read")
	}
	w.readFailed = true
}
