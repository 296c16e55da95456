// Package logs makes the project's loggers: JSON lines with stable names.
// docs/OPERATIONS.md lists the events.
package logs

import (
	"fmt"
	"io"
	"log"
	"strings"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx/fxevent"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// FieldEvent is the field that names a line's event.
const FieldEvent = "event"

// New makes a logger of JSON lines at the named level.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeSettingsInvalid, Message: "log level " + level + " is not known", Fix: "write error, warn, info or debug", Cause: err}
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger, nil
}

// NewFxLogger writes fx's own events at debug level.
func NewFxLogger(logger logrus.FieldLogger) fxevent.Logger { return fxLogger{logger} }

type fxLogger struct{ logger logrus.FieldLogger }

// LogEvent implements fxevent.Logger.
func (l fxLogger) LogEvent(event fxevent.Event) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", event), "*fxevent.")
	l.logger.WithFields(logrus.Fields{FieldEvent: "fx", "fx_event": name}).Debug("fx " + name)
}

// NewHTTPErrorLog writes what net/http says of broken callers at debug level.
func NewHTTPErrorLog(logger logrus.FieldLogger) *log.Logger {
	return log.New(httpWriter{logger}, "", 0)
}

type httpWriter struct{ logger logrus.FieldLogger }

// Write implements io.Writer.
func (w httpWriter) Write(line []byte) (int, error) {
	w.logger.WithField(FieldEvent, "http").Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
