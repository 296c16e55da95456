// Package decisionlog writes one JSON line for each decision that affects a request
// or changes the state of the process. Lines pass through a bounded queue and a rate
// limit, so that neither a stalled reader of the output nor a burst of failures ever
// blocks a request. Dropped lines are counted and reported.
package decisionlog

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	// queueCapacity has room for a burst of about twenty failed requests with all
	// their sends; 4,096 lines of about 300 bytes take 1.2 MB.
	queueCapacity = 4096
	// linesPerSecond and burstLines bound the volume to 200 lines in any second, which is
	// 60 KB/s at 300 bytes per line.
	linesPerSecond = 110
	burstLines     = 90
	// maxFieldBytes bounds a text in a field. Callers choose ids, hosts and paths, and waiting lines hold them.
	maxFieldBytes = 512
	// summaryInterval is the interval between lines with the counts of successful requests
	// and dropped lines.
	summaryInterval = 10 * time.Second
)

// Fields are the fields of a line.
type Fields = logrus.Fields

type line struct {
	at     time.Time
	event  string
	fields Fields
}

// Log accepts lines from any goroutine. Its methods never block, except Close.
type Log struct {
	out       *logrus.Logger
	base      Fields
	lines     *ring.Ring[line]
	limiter   *rate.Limiter
	dropped   atomic.Int64
	succeeded atomic.Int64
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// New starts a log that adds the fields of base to every line. Close writes the queued lines.
func New(out io.Writer, base Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	ctx, stop := context.WithCancel(context.Background())
	l := &Log{out: logger, base: base, lines: ring.New[line](queueCapacity), limiter: rate.NewLimiter(linesPerSecond, burstLines), stop: stop}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		l.run(ctx)
	}()
	return l
}

// Close writes the queued lines and stops the log. It waits at most for the time-out,
// since the reader of the output may have stalled.
func (l *Log) Close(timeout time.Duration) {
	l.stop()
	stopped := make(chan struct{})
	go func() {
		l.done.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(timeout):
	}
}

// Decision writes a line subject to the rate limit.
func (l *Log) Decision(event string, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.Life(event, fields)
}

// Line is one line for Decisions.
type Line struct {
	Event  string
	Fields Fields
}

// Decisions writes the lines about one request: all of them if the rate limit allows, and
// else none, because a partial account of a request would be misleading.
func (l *Log) Decisions(lines []Line) {
	lines = lines[:min(len(lines), burstLines)]
	if !l.limiter.AllowN(time.Now(), len(lines)) {
		l.dropped.Add(int64(len(lines)))
		return
	}
	for _, entry := range lines {
		l.Life(entry.Event, entry.Fields)
	}
}

// Life writes a line about the life cycle or the state of the process. Such lines are
// few and not subject to the rate limit.
func (l *Log) Life(event string, fields Fields) {
	for name, value := range fields {
		if text, ok := value.(string); ok && len(text) > maxFieldBytes {
			fields[name] = Clip(text)
		}
	}
	if !l.lines.TryPut(line{at: time.Now(), event: event, fields: fields}) {
		l.dropped.Add(1)
	}
}

// Clip returns a text as a field of a line holds it, without the rest in memory.
func Clip(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return strings.Clone(text[:maxFieldBytes])
}

// CountSuccess counts a request that succeeded in time, which gets no line of its own.
func (l *Log) CountSuccess() { l.succeeded.Add(1) }

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

func (l *Log) run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case entry := <-l.lines.Items():
			l.write(entry)
		case <-ticker.C:
			l.writeSummary()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case entry := <-l.lines.Items():
			l.write(entry)
		default:
			l.writeSummary()
			return
		}
	}
}

func (l *Log) writeSummary() {
	succeeded, dropped := l.succeeded.Swap(0), l.dropped.Load()
	if succeeded == 0 && dropped == 0 {
		return
	}
	l.write(line{at: time.Now(), event: "requests_summary", fields: Fields{"answered_well": succeeded, "lines_dropped_total": dropped}})
}

func (l *Log) write(entry line) {
	l.out.WithTime(entry.at).WithFields(l.base).WithFields(entry.fields).WithField(logs.FieldEvent, entry.event).Info()
}

// Logger returns a logrus logger that forwards entries with an event to this log. It is for
// components that other kinds of nodes run too.
func (l *Log) Logger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(forwardHook{log: l})
	return logger
}

// LibraryWriter returns a writer for the plain-text lines of libraries, such as those of
// net/http on broken connections. It writes them as JSON, subject to the rate limit, so that
// the output contains only JSON.
func (l *Log) LibraryWriter() io.Writer { return libraryWriter{l} }

// maxLibraryLineBytes truncates the lines of libraries; net/http adds a stack trace to some.
const maxLibraryLineBytes = 500

type libraryWriter struct{ log *Log }

// Write implements io.Writer.
func (w libraryWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryLineBytes)]))
	w.log.Decision("library_message", Fields{"text": text})
	return len(line), nil
}

// forwardHook forwards logrus entries to a Log.
type forwardHook struct{ log *Log }

// Levels implements logrus.Hook.
func (f forwardHook) Levels() []logrus.Level {
	return []logrus.Level{logrus.InfoLevel, logrus.WarnLevel, logrus.ErrorLevel}
}

// Fire implements logrus.Hook. It discards entries without an event.
func (f forwardHook) Fire(entry *logrus.Entry) error {
	event, ok := entry.Data[logs.FieldEvent].(string)
	if !ok {
		return nil
	}
	fields := Fields{}
	for name, value := range entry.Data {
		if err, isError := value.(error); isError {
			value = err.Error()
		}
		fields[name] = value
	}
	delete(fields, logs.FieldEvent)
	f.log.Life(event, fields)
	return nil
}
