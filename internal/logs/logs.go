// Package logs creates the loggers of the project. They write JSON lines with stable
// event names, which docs/OPERATIONS.md lists.
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

// FieldEvent is the field that holds the event name of a line.
const FieldEvent = "event"

// New returns a logger that writes JSON lines at the given level.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeSettingsInvalid, Message: "log level " + level + " is unknown", Fix: "use error, warn, info or debug", Cause: err}
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger, nil
}

// NewFxLogger returns a logger that writes the events of fx at debug level.
func NewFxLogger(logger logrus.FieldLogger) fxevent.Logger { return fxLogger{logger} }

type fxLogger struct{ logger logrus.FieldLogger }

// LogEvent implements fxevent.Logger.
func (l fxLogger) LogEvent(event fxevent.Event) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", event), "*fxevent.")
	l.logger.WithFields(logrus.Fields{FieldEvent: "fx", "fx_event": name}).Debug("fx " + name)
}

// NewHTTPErrorLog returns a logger for http.Server.ErrorLog that writes the errors of
// net/http about connections of callers at debug level.
func NewHTTPErrorLog(logger logrus.FieldLogger) *log.Logger {
	return log.New(debugWriter{logger}, "", 0)
}

type debugWriter struct{ logger logrus.FieldLogger }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.logger.WithField(FieldEvent, "http").Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
