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

// Entries is the answer to which addresses a caller may use, and for how long.
type Entries struct {
	Entries []EntryAddress `json:"entries"`
	// TTLMs is how long the caller may keep the answer, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// KeyPrefix starts the keys of the caller's must-not-repeat requests.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// EntryAddress is one entry of the system.
type EntryAddress struct {
	Node       core.NodeID `json:"node"`
	Address    string      `json:"address"`
	DataCentre string      `json:"data_centre"`
}

// QueryRequest is the body of a query.
type QueryRequest struct {
	Customer      core.Customer   `json:"customer"`
	RequestID     string          `json:"request_id,omitempty"`
	Question      json.RawMessage `json:"question"`
	TimeoutMs     *int64          `json:"timeout_ms,omitempty"`
	LeastCoverage float64         `json:"least_coverage,omitempty"`
	// Prefer is "whole" or "early".
	Prefer string `json:"prefer,omitempty"`
}

// QueryReply is the answer to a query.
type QueryReply struct {
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id"`
	Service   string       `json:"service"`
	Index     string       `json:"index"`
	Version   core.Version `json:"version"`
	Revision  uint64       `json:"config_revision"`
	Coverage  Coverage     `json:"coverage"`
	Parts     []Part       `json:"parts"`
	ElapsedMs float64      `json:"elapsed_ms"`
}

// Coverage tells callers what an answer covers.
type Coverage struct {
	Asked    int     `json:"asked"`
	Answered int     `json:"answered"`
	Share    float64 `json:"share"`
	Thin     bool    `json:"thin"`
	// BelowLeast is set when less than least_coverage is answered.
	BelowLeast bool `json:"below_least,omitempty"`
	// Incomplete counts answered shards computed without some dependency's part.
	Incomplete int       `json:"incomplete,omitempty"`
	Missing    []Missing `json:"missing,omitempty"`
}

// Missing is a shard without a part.
type Missing struct {
	Service string      `json:"service"`
	Shard   int         `json:"shard"`
	Reason  core.Reason `json:"reason"`
}

// Part is one shard's part.
type Part struct {
	Service string          `json:"service"`
	Shard   int             `json:"shard"`
	Data    json.RawMessage `json:"data"`
}

// ErrorReply is the body of every failed request.
type ErrorReply struct {
	Outcome string     `json:"outcome"`
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Fix     string     `json:"fix,omitempty"`
	// Detail is the cause, in words that may change.
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// The rest comes with must-not-repeat requests only. ThisTry is "not_run"
	// when the outcome of the key is unknown but this try alone did not run.
	ThisTry   string `json:"this_try,omitempty"`
	Repeated  bool   `json:"repeated,omitempty"`
	KeyPrefix string `json:"key_prefix,omitempty"`
}

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

func toQuestion(service string, request QueryRequest) (entry.Question, error) {
	question := entry.Question{
		Service:       service,
		Customer:      request.Customer,
		Body:          request.Question,
		RequestID:     request.RequestID,
		LeastCoverage: request.LeastCoverage,
	}
	if request.Customer == "" {
		return question, fault.NotRun(fault.CodeUnknownCustomer, "the request names no customer", "set customer")
	}
	if request.LeastCoverage < 0 || request.LeastCoverage > 1 {
		return question, fault.NotRun(fault.CodeBadRequest, "least_coverage is outside 0 to 1", "write a share such as 0.9")
	}
	if len(question.Body) == 0 {
		question.Body = json.RawMessage("null")
	}
	if request.TimeoutMs != nil {
		if *request.TimeoutMs > maxTimeoutMs {
			return question, fault.NotRun(fault.CodeBadRequest, "timeout_ms is over an hour", "write milliseconds")
		}
		if *request.TimeoutMs <= 0 {
			return question, fault.NotRun(fault.CodePastDeadline, "timeout_ms leaves no time", "give more time")
		}
		question.Timeout = time.Duration(*request.TimeoutMs) * time.Millisecond
	}
	switch request.Prefer {
	case "", "whole":
		question.Preference = query.PreferWhole
	case "early":
		question.Preference = query.PreferEarly
	default:
		return question, fault.NotRun(fault.CodeBadRequest, "prefer is neither whole nor early", "write whole or early")
	}
	return question, nil
}

func toReply(service string, result *entry.Result) QueryReply {
	reply := QueryReply{
		Outcome:   core.Done.String(),
		RequestID: result.RequestID,
		Service:   service,
		Index:     result.Index,
		Version:   result.Version,
		Revision:  result.Revision,
		Coverage:  toCoverage(result.Answer),
		ElapsedMs: float64(result.Elapsed) / float64(time.Millisecond),
	}
	for _, part := range result.Parts {
		reply.Parts = append(reply.Parts, Part{Service: part.Ref.Service, Shard: part.Ref.Shard, Data: part.Payload})
	}
	return reply
}

func toCoverage(answer query.Answer) Coverage {
	coverage := answer.Coverage
	out := Coverage{
		BelowLeast: answer.BelowLeast, Incomplete: coverage.Incomplete,
		Asked:    coverage.Asked,
		Answered: coverage.Answered,
		Share:    coverage.Share(),
		Thin:     coverage.Answered < coverage.Asked,
	}
	for _, missing := range coverage.Missing {
		out.Missing = append(out.Missing, Missing{Service: missing.Ref.Service, Shard: missing.Ref.Shard, Reason: missing.Reason})
	}
	return out
}

// fail writes the typed error of a request.
func fail(c *gin.Context, err error) {
	typed := fault.As(err)
	detail := ""
	if typed.Cause != nil {
		detail = typed.Cause.Error()
	}
	c.JSON(status(typed.Code), ErrorReply{
		Detail:       detail,
		Outcome:      typed.Outcome.String(),
		Code:         typed.Code,
		Message:      typed.Message,
		Fix:          typed.Fix,
		RetryAfterMs: typed.RetryAfter.Milliseconds(),
	})
}

func status(code fault.Code) int {
	switch code {
	case fault.CodeBadRequest, fault.CodeUnknownCustomer, fault.CodeKeyMissing, fault.CodeKeyInvalid, fault.CodeWrongMethod:
		return http.StatusBadRequest
	case fault.CodeUnknownMethod:
		return http.StatusMethodNotAllowed
	case fault.CodeUnknownService, fault.CodeUnknownPath:
		return http.StatusNotFound
	case fault.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.CodePastDeadline:
		return http.StatusRequestTimeout
	case fault.CodeOverloaded:
		return http.StatusTooManyRequests
	case fault.CodeKeyReused, fault.CodeKeyExpired:
		return http.StatusConflict
	case fault.CodeNotReady, fault.CodeDraining, fault.CodeRefused:
		return http.StatusServiceUnavailable
	case fault.CodeHomeGone, fault.CodeLost:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// ToFault turns a failed request's body back into its typed error.
func ToFault(reply ErrorReply) error {
	outcome := core.Unknown
	if reply.Outcome == core.NotRun.String() {
		outcome = core.NotRun
	}
	return &fault.Error{
		Code:       reply.Code,
		Outcome:    outcome,
		Message:    reply.Message,
		Fix:        reply.Fix,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}
}
