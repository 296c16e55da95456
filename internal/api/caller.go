// Package api serves callers and operators over HTTP.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/home"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// BodyLimits bound a request's body in bytes and in the time it may take to
// arrive.
type BodyLimits struct {
	MaxBytes int64
	Timeout  time.Duration
}

// CallerParts is what the callers' interface needs of the node.
type CallerParts struct {
	Log   logrus.FieldLogger
	Entry *entry.Entry
	Home  *home.Home
	// Entries answers a caller in the named data centre, or in none.
	Entries func(dataCentre string) Entries
	Body    BodyLimits
	Metrics observe.Registry
}

// NewCaller makes the handler of the callers' interface.
func NewCaller(parts CallerParts) http.Handler {
	router := newRouter(parts.Log, parts.Body.Timeout)
	router.GET("/v1/entries", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Entries(c.Query("data_centre"))) })
	router.POST("/v1/query/:service", parts.query)
	router.POST("/v1/submit/:service", parts.submit)
	return router
}

func (p CallerParts) query(c *gin.Context) {
	var request QueryRequest
	if err := p.read(c, &request); err != nil {
		fail(c, err)
		return
	}
	question, err := toQuestion(c.Param("service"), request)
	if err != nil {
		fail(c, err)
		return
	}
	result, err := p.Entry.Ask(c.Request.Context(), question)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, toReply(c.Param("service"), result))
}

func (p CallerParts) read(c *gin.Context, out any) error {
	body, err := readBody(c, p.Body.MaxBytes)
	if err != nil {
		p.count(err)
		return err
	}
	return decode(body, out)
}

// count keeps the metrics of the body's limits.
func (p CallerParts) count(err error) {
	switch fault.As(err).Code {
	case fault.CodeTooLarge:
		observe.Counter(p.Metrics, "caller_bodies_too_large_total").Inc(1)
	case fault.CodePastDeadline:
		observe.Counter(p.Metrics, "caller_bodies_late_total").Inc(1)
	}
}

// decode reads one JSON document with known fields only and nothing after it.
func decode(body []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil && decoder.More() {
		err = errTrailing
	}
	if err == nil {
		return nil
	}
	return &fault.Error{Code: fault.CodeBadRequest, Outcome: core.NotRun, Message: "the body is not the JSON expected", Fix: "see docs/INTERFACE.md", Cause: err}
}

var errTrailing = errors.New("something follows the document")

// maxTimeoutMs keeps a caller's time from overflowing a duration.
const maxTimeoutMs = int64(time.Hour / time.Millisecond)

// toQuestion checks a request. What it leaves out takes its default, here or,
// for the time and the least coverage, in the entry.
func toQuestion(service string, request QueryRequest) (entry.Query, error) {
	if err := checkCustomer(request.Customer); err != nil {
		return entry.Query{}, err
	}
	if request.LeastCoverage < 0 || request.LeastCoverage > 1 {
		return entry.Query{}, fault.NotRun(fault.CodeBadRequest, "least_coverage is outside 0 to 1", "write a share such as 0.9")
	}
	timeout, err := toTimeout(request.TimeoutMs)
	if err != nil {
		return entry.Query{}, err
	}
	preference, err := toPreference(request.Prefer)
	if err != nil {
		return entry.Query{}, err
	}
	body := request.Question
	if len(body) == 0 {
		body = json.RawMessage("null")
	}
	return entry.Query{
		Service:       service,
		Customer:      request.Customer,
		Body:          body,
		RequestID:     request.RequestID,
		Timeout:       timeout,
		LeastCoverage: request.LeastCoverage,
		Preference:    preference,
	}, nil
}

// checkCustomer refuses a request that names no customer.
func checkCustomer(customer core.Customer) error {
	if customer == "" {
		return fault.NotRun(fault.CodeUnknownCustomer, "the request names no customer", "set customer")
	}
	return nil
}

// toTimeout is 0 when none is written: the service's own then holds.
func toTimeout(written *int64) (time.Duration, error) {
	switch {
	case written == nil:
		return 0, nil
	case *written > maxTimeoutMs:
		return 0, fault.NotRun(fault.CodeBadRequest, "timeout_ms is over an hour", "write milliseconds")
	case *written <= 0:
		return 0, fault.NotRun(fault.CodePastDeadline, "timeout_ms leaves no time", "give more time")
	default:
		return time.Duration(*written) * time.Millisecond, nil
	}
}

func toPreference(written string) (query.Preference, error) {
	switch written {
	case "", "whole":
		return query.PreferWhole, nil
	case "early":
		return query.PreferEarly, nil
	default:
		return query.PreferWhole, fault.NotRun(fault.CodeBadRequest, "prefer is neither whole nor early", "write whole or early")
	}
}
