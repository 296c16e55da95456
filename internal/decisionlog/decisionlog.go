// Package decisionlog writes one JSON line for each decision that touches a
// request or changes what the process believes. Lines pass a bounded ring and a
// rate, so that a reader that stops reading, or a storm of failures, never holds
// a request; lines that are dropped are counted and said.
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
	// ringDepth holds a burst of about twenty failed requests with all their
	// sends; 4,096 lines of about 300 bytes are 1.2 MB.
	ringDepth = 4096
	// linesPerSecond and burst bound the volume to 200 lines in any second: 60 KB/s
	// at 300 bytes a line.
	linesPerSecond = 110
	burst          = 90
	// reportEvery is how often dropped lines and calm requests are summed up.
	reportEvery = 10 * time.Second
)

// Fields are the particulars of a line.
type Fields = logrus.Fields

type line struct {
	at     time.Time
	event  string
	fields Fields
}

// Log takes lines from any goroutine. It never blocks.
type Log struct {
	out     *logrus.Logger
	base    Fields
	lines   *ring.Ring[line]
	limiter *rate.Limiter
	dropped atomic.Int64
	calm    atomic.Int64
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// New starts a log; base goes with every line. Close writes what is queued.
func New(out io.Writer, base Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	ctx, stop := context.WithCancel(context.Background())
	l := &Log{out: logger, base: base, lines: ring.New[line](ringDepth), limiter: rate.NewLimiter(linesPerSecond, burst), stop: stop}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		l.run(ctx)
	}()
	return l
}

// Close writes the queued lines and ends the log. It waits at most the given time,
// since the reader of the output may have stopped.
func (l *Log) Close(limit time.Duration) {
	l.stop()
	ended := make(chan struct{})
	go func() {
		l.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(limit):
	}
}

// Decision writes a line within the rate.
func (l *Log) Decision(event string, fields Fields) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.Life(event, fields)
}

// Line is one line of a story.
type Line struct {
	Event  string
	Fields Fields
}

// Decisions writes the lines on one request, all of them within the rate or none: half a
// story misleads whoever reads it.
func (l *Log) Decisions(lines []Line) {
	lines = lines[:min(len(lines), burst)]
	if !l.limiter.AllowN(time.Now(), len(lines)) {
		l.dropped.Add(int64(len(lines)))
		return
	}
	for _, one := range lines {
		l.Life(one.Event, one.Fields)
	}
}

// Life writes a line on the process's own life or beliefs; these are few and not
// held to the rate.
func (l *Log) Life(event string, fields Fields) {
	if !l.lines.TryPut(line{at: time.Now(), event: event, fields: fields}) {
		l.dropped.Add(1)
	}
}

// CountSuccess counts a request that ended well and in time, which gets no line of its own.
func (l *Log) CountSuccess() { l.calm.Add(1) }

// Dropped counts the lines that were not written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

func (l *Log) run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case one := <-l.lines.Items():
			l.write(one)
		case <-ticker.C:
			l.report()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case one := <-l.lines.Items():
			l.write(one)
		default:
			l.report()
			return
		}
	}
}

func (l *Log) report() {
	calm, dropped := l.calm.Swap(0), l.dropped.Load()
	if calm == 0 && dropped == 0 {
		return
	}
	l.write(line{at: time.Now(), event: "requests_summary", fields: Fields{"answered_well": calm, "lines_dropped_total": dropped}})
}

func (l *Log) write(one line) {
	l.out.WithTime(one.at).WithFields(l.base).WithFields(one.fields).WithField(logs.FieldEvent, one.event).Info()
}

// Logger is a logrus logger whose lines, which name their event, go through this log.
// Duties that other kinds of nodes run too write by it.
func (l *Log) Logger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(forward{log: l})
	return logger
}

// LibraryWriter takes the plain lines that libraries write, such as net/http's on broken
// connections, within the rate: the output holds nothing but JSON.
func (l *Log) LibraryWriter() io.Writer { return libraries{l} }

// maxLibraryLine bounds such a line, in bytes; net/http adds a stack to some.
const maxLibraryLine = 500

type libraries struct{ log *Log }

// Write implements io.Writer.
func (w libraries) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLibraryLine)]))
	w.log.Decision("library_message", Fields{"text": text})
	return len(line), nil
}

// forward hands logrus entries on.
type forward struct{ log *Log }

// Levels implements logrus.Hook.
func (f forward) Levels() []logrus.Level {
	return []logrus.Level{logrus.InfoLevel, logrus.WarnLevel, logrus.ErrorLevel}
}

// Fire implements logrus.Hook. Lines without an event are not ours to keep.
func (f forward) Fire(entry *logrus.Entry) error {
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
