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

// maxDiscardBytes limits how much of an oversized body is read and discarded, so that
// a caller that sends its whole body before it reads still receives the refusal.
const maxDiscardBytes = 32 << 20

// newRouter returns a router that answers every failure with typed JSON,
// including unknown paths, wrong methods and panics.
func newRouter(log logrus.FieldLogger, bodyTimeout time.Duration) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(logRequests(log), recoverPanics(log), limitBodyTime(bodyTimeout))
	router.NoRoute(func(c *gin.Context) {
		writeError(c, fault.NotRun(fault.CodeUnknownPath, "unknown path "+c.Request.URL.Path, "see docs/INTERFACE.md"))
	})
	router.NoMethod(func(c *gin.Context) {
		writeError(c, fault.NotRun(fault.CodeUnknownMethod, c.Request.Method+" is not allowed at "+c.Request.URL.Path, "see docs/INTERFACE.md"))
	})
	return router
}

// logRequests logs one line per request at debug level.
func logRequests(log logrus.FieldLogger) gin.HandlerFunc {
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

// recoverPanics turns a handler's panic into a typed error and a log line. The
// outcome is unknown: the handler may have done its work before the panic.
func recoverPanics(log logrus.FieldLogger) gin.HandlerFunc {
	return gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, caught any) {
		log.WithFields(logrus.Fields{
			"event": "handler_panicked",
			"path":  c.Request.URL.Path,
			"panic": caught,
			"stack": string(debug.Stack()),
		}).Error("HTTP handler panicked")
		writeError(c, &fault.Error{Code: fault.CodeInternal, Outcome: core.Unknown, Message: "internal error: the request's handler panicked", Fix: "see the node's log"})
		c.Abort()
	})
}

// limitBodyTime limits the time in which a body must arrive, on every path: before it
// answers, net/http reads the rest of a body without a time limit, so a caller that
// stops half-way would hold its connection indefinitely.
func limitBodyTime(timeout time.Duration) gin.HandlerFunc {
	return func(c *gin.Context) {
		if c.Request.ContentLength != 0 {
			_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(timeout))
		}
	}
}

// readBody reads a request's body within its size limit and the deadline set by
// limitBodyTime. It clears the deadline once the body has arrived: net/http keeps
// reading in the background to detect a caller that disconnects, and a deadline
// that expires there would cancel a query in flight.
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
		_, _ = io.CopyN(io.Discard, c.Request.Body, maxDiscardBytes)
		return nil, &fault.Error{Code: fault.CodeTooLarge, Outcome: core.NotRun, Message: "the body exceeds the size limit", Fix: "send less, or raise limits.max_body_bytes", Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &fault.Error{Code: fault.CodePastDeadline, Outcome: core.NotRun, Message: "the body did not arrive within its time limit", Fix: "send it faster, or raise limits.body_timeout", Cause: err}
	default:
		return nil, &fault.Error{Code: fault.CodeBadRequest, Outcome: core.NotRun, Message: "the body is incomplete", Fix: "send the whole body", Cause: err}
	}
}
