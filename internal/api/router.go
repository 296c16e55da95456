package api

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// maxDrainBytes bounds what is read and thrown away of a body that is over its
// limit, so that a caller which writes its whole body first still reads why it
// was refused.
const maxDrainBytes = 32 << 20

// newRouter makes a router whose every failure is typed JSON: unknown paths,
// wrong methods and panics too.
func newRouter(log logrus.FieldLogger, bodyTimeout time.Duration) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(accessLog(log), recovery(log), boundBody(bodyTimeout))
	router.NoRoute(func(c *gin.Context) {
		fail(c, fault.NotRun(fault.CodeUnknownPath, "there is no "+c.Request.URL.Path, "see docs/INTERFACE.md"))
	})
	router.NoMethod(func(c *gin.Context) {
		fail(c, fault.NotRun(fault.CodeUnknownMethod, c.Request.Method+" is not taken at "+c.Request.URL.Path, "see docs/INTERFACE.md"))
	})
	return router
}

// accessLog writes one line a request, at debug level only.
func accessLog(log logrus.FieldLogger) gin.HandlerFunc {
	return func(c *gin.Context) {
		started := time.Now()
		c.Next()
		log.WithFields(logrus.Fields{
			"event":      "request_served",
			"method":     c.Request.Method,
			"path":       c.Request.URL.Path,
			"status":     c.Writer.Status(),
			"from":       c.Request.RemoteAddr,
			"elapsed_ms": time.Since(started).Milliseconds(),
		}).Debug("request served")
	}
}

// recovery turns a panic of a handler into a typed answer and a log line. The
// outcome is unknown: the handler may have done its work before it failed.
func recovery(log logrus.FieldLogger) gin.HandlerFunc {
	return gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, caught any) {
		log.WithFields(logrus.Fields{
			"event": "handler_panicked",
			"path":  c.Request.URL.Path,
			"panic": caught,
			"stack": string(debug.Stack()),
		}).Error("a handler panicked")
		fail(c, &fault.Error{Code: fault.CodeInternal, Outcome: core.Unknown, Message: "the node failed on this request", Fix: "see the node's log"})
		c.Abort()
	})
}

// boundBody bounds the time in which a body arrives, on every path: net/http reads
// what a handler left of a body before it answers, without a limit of its own, so
// that a caller which stops half-way would hold its connection for good.
func boundBody(timeout time.Duration) gin.HandlerFunc {
	return func(c *gin.Context) {
		if c.Request.ContentLength != 0 {
			_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(timeout))
		}
	}
}

// readBody reads a request's body within its limit of size and the time that
// boundBody gave it. The deadline is lifted once the body is in: net/http goes on
// reading in the background to notice a caller that disconnects, and a deadline
// that expires there would cancel a question that is still being answered.
func readBody(c *gin.Context, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, c.Request.Body, maxBytes))
	if err == nil {
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	c.Header("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		_, _ = io.CopyN(io.Discard, c.Request.Body, maxDrainBytes)
		return nil, &fault.Error{Code: fault.CodeTooLarge, Outcome: core.NotRun, Message: "the body is over the limit", Fix: "send less, or raise limits.max_body_bytes", Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &fault.Error{Code: fault.CodePastDeadline, Outcome: core.NotRun, Message: "the body did not arrive in time", Fix: "send it faster, or raise limits.body_timeout", Cause: err}
	default:
		return nil, &fault.Error{Code: fault.CodeBadRequest, Outcome: core.NotRun, Message: "the body was cut", Fix: "send the whole body", Cause: err}
	}
}
