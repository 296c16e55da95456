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

// BodyLimits limit the size of a request's body and the time in which it must
// arrive.
type BodyLimits struct {
	MaxBytes int64
	Timeout  time.Duration
}

// CallerOptions holds the parts of the node that the caller interface uses.
type CallerOptions struct {
	Log   logrus.FieldLogger
	Entry *entry.Entry
	Home  *home.Home
	// Entries returns the addresses for a caller in the data centre; "" is none in particular.
	Entries func(dataCentre string) Entries
	Body    BodyLimits
	Metrics observe.Registry
}

// NewCallerHandler returns the handler of the caller interface.
func NewCallerHandler(parts CallerOptions) http.Handler {
	router := newRouter(parts.Log, parts.Body.Timeout)
	router.GET("/v1/entries", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Entries(c.Query("data_centre"))) })
	router.POST("/v1/query/:service", parts.query)
	router.POST("/v1/submit/:service", parts.submit)
	return router
}

func (p CallerOptions) query(c *gin.Context) {
	var request QueryRequest
	if err := p.readRequest(c, &request); err != nil {
		writeError(c, err)
		return
	}
	entryQuery, err := toQuery(c.Param("service"), request)
	if err != nil {
		writeError(c, err)
		return
	}
	result, err := p.Entry.Ask(c.Request.Context(), entryQuery)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, toReply(c.Param("service"), result))
}

func (p CallerOptions) readRequest(c *gin.Context, out any) error {
	body, err := readBody(c, p.Body.MaxBytes)
	if err != nil {
		p.countBodyError(err)
		return err
	}
	return decode(body, out)
}

// countBodyError counts a body that exceeded its size or time limit.
func (p CallerOptions) countBodyError(err error) {
	switch fault.As(err).Code {
	case fault.CodeTooLarge:
		observe.Counter(p.Metrics, "caller_bodies_too_large_total").Inc(1)
	case fault.CodePastDeadline:
		observe.Counter(p.Metrics, "caller_bodies_late_total").Inc(1)
	}
}

// decode decodes a single JSON document. It refuses unknown fields and trailing data.
func decode(body []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil && decoder.More() {
		err = errTrailingData
	}
	if err == nil {
		return nil
	}
	return &fault.Error{Code: fault.CodeBadRequest, Outcome: core.NotRun, Message: "the body is not valid JSON for this request", Fix: "see docs/INTERFACE.md", Cause: err}
}

var errTrailingData = errors.New("unexpected data after the JSON document")

// maxTimeoutMs prevents a caller's time-out from overflowing a duration.
const maxTimeoutMs = int64(time.Hour / time.Millisecond)

// toQuery validates a request and converts it. Missing fields get their defaults
// here, except the time-out and the least coverage, whose defaults the entry sets.
func toQuery(service string, request QueryRequest) (entry.Query, error) {
	if err := checkCustomer(request.Customer); err != nil {
		return entry.Query{}, err
	}
	if request.LeastCoverage < 0 || request.LeastCoverage > 1 {
		return entry.Query{}, fault.NotRun(fault.CodeBadRequest, "least_coverage is outside 0 to 1", "set it to a share such as 0.9")
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

// checkCustomer refuses a request without a customer.
func checkCustomer(customer core.Customer) error {
	if customer == "" {
		return fault.NotRun(fault.CodeUnknownCustomer, "customer is missing", "set customer")
	}
	return nil
}

// toTimeout returns 0 if the request has no time-out: the service's time-out then applies.
func toTimeout(timeoutMs *int64) (time.Duration, error) {
	switch {
	case timeoutMs == nil:
		return 0, nil
	case *timeoutMs > maxTimeoutMs:
		return 0, fault.NotRun(fault.CodeBadRequest, "timeout_ms exceeds one hour", "give the time-out in milliseconds")
	case *timeoutMs <= 0:
		return 0, fault.NotRun(fault.CodePastDeadline, "timeout_ms is not positive", "set it to a positive number of milliseconds")
	default:
		return time.Duration(*timeoutMs) * time.Millisecond, nil
	}
}

func toPreference(prefer string) (query.Preference, error) {
	switch prefer {
	case "", "whole":
		return query.PreferWhole, nil
	case "early":
		return query.PreferEarly, nil
	default:
		return query.PreferWhole, fault.NotRun(fault.CodeBadRequest, "prefer is neither whole nor early", "set it to whole or early")
	}
}
