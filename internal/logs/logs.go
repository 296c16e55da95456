// Package logs makes the project's loggers: JSON lines with stable names.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

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
