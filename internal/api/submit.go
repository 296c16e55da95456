package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/home"
)

// SubmitRequest is the body of a must-not-repeat request.
type SubmitRequest struct {
	Customer core.Customer `json:"customer"`
	// Key consists of a key prefix from GET /v1/entries, a dot and an id chosen by
	// the caller. Every retry uses the same key and body.
	Key       string          `json:"key"`
	Payload   json.RawMessage `json:"payload"`
	TimeoutMs *int64          `json:"timeout_ms,omitempty"`
}

// SubmitReply is the answer to a must-not-repeat request that ran.
type SubmitReply struct {
	Outcome string          `json:"outcome"`
	Service string          `json:"service"`
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Repeated is set if the outcome is the stored one of an earlier attempt.
	Repeated bool `json:"repeated"`
	// Message states why the payload is missing.
	Message string `json:"message,omitempty"`
}

func (p CallerOptions) submit(c *gin.Context) {
	body, err := readBody(c, p.Body.MaxBytes)
	if err != nil {
		p.countBodyError(err)
		p.failAttempt(c, err)
		return
	}
	var request SubmitRequest
	if err := decode(body, &request); err != nil {
		p.failSubmit(c, err)
		return
	}
	submit, err := toSubmit(c.Param("service"), request)
	if err != nil {
		p.failSubmit(c, err)
		return
	}
	release, err := p.Entry.Admit(submit.Customer)
	if err != nil {
		p.failAttempt(c, err)
		return
	}
	defer release()
	reply := p.Home.Submit(c.Request.Context(), submit)
	if reply.Outcome == core.Done {
		c.JSON(http.StatusOK, toSubmitReply(submit, reply))
		return
	}
	p.writeRefusal(c, reply)
}

// toSubmit validates a request and converts it. A request that fails here never
// runs under any key, since no home accepts its body.
func toSubmit(service string, request SubmitRequest) (home.Request, error) {
	submit := home.Request{Customer: request.Customer, Key: request.Key, Service: service, Payload: request.Payload}
	if err := checkCustomer(request.Customer); err != nil {
		return submit, err
	}
	if len(submit.Payload) == 0 {
		submit.Payload = json.RawMessage("null")
	}
	if request.TimeoutMs != nil {
		submit.Timeout = time.Duration(min(max(1, *request.TimeoutMs), maxTimeoutMs)) * time.Millisecond
	}
	return submit, nil
}

func toSubmitReply(submit home.Request, reply once.Reply) SubmitReply {
	out := SubmitReply{Outcome: reply.Outcome.String(), Service: submit.Service, Key: submit.Key, Repeated: reply.Repeated, Message: reply.Message}
	switch {
	case len(reply.Payload) == 0:
	case json.Valid(reply.Payload):
		out.Payload = reply.Payload
	default:
		// A reply of the upstream that is not JSON is returned as a JSON string.
		out.Payload, _ = json.Marshal(string(reply.Payload))
	}
	return out
}

// failSubmit answers with a typed error and, if the request is not run, a fresh key prefix.
func (p CallerOptions) failSubmit(c *gin.Context, err error) {
	typed := fault.As(err)
	p.writeRefusal(c, once.Reply{Outcome: typed.Outcome, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter})
}

// failAttempt answers an attempt that failed at this entry: its body is too large, late
// or incomplete, or the entry is at its limit. This attempt did not run, but an earlier
// attempt with the same key may have: its body may have arrived in full, or another
// entry may have admitted it.
func (p CallerOptions) failAttempt(c *gin.Context, err error) {
	typed := fault.As(err)
	p.writeRefusal(c, once.Reply{Outcome: core.Unknown, ThisAttempt: core.NotRun, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter})
}

// writeRefusal answers with an outcome other than done. If the key is not run, the
// caller gets a fresh prefix: its next attempt needs a new key, since a key reported
// as "not run" never runs.
func (p CallerOptions) writeRefusal(c *gin.Context, reply once.Reply) {
	out := ErrorReply{
		Outcome:      reply.Outcome.String(),
		Code:         reply.Code,
		Message:      reply.Message,
		Fix:          submitFix(reply),
		RetryAfterMs: reply.RetryAfter.Milliseconds(),
		Repeated:     reply.Repeated,
	}
	if reply.Outcome == core.NotRun {
		out.KeyPrefix = p.Home.Prefix()
	}
	if reply.ThisAttempt == core.NotRun {
		out.ThisTry = reply.ThisAttempt.String()
	}
	c.JSON(httpStatus(reply.Code), out)
}

func submitFix(reply once.Reply) string {
	switch {
	case reply.Outcome == core.NotRun && reply.Code == fault.CodeWrongMethod:
		return "use /v1/query for this service"
	case reply.Outcome == core.NotRun:
		return "to retry, append a new id to key_prefix"
	case reply.ThisAttempt == core.NotRun && reply.Code == fault.CodeOverloaded:
		return "retry with the same key and body, after retry_after_ms or at another entry"
	case reply.ThisAttempt == core.NotRun:
		return "if this was the only attempt with this key, nothing ran: use a new key"
	case reply.Code == fault.CodeLost:
		return "retry with the same key and body"
	default:
		return "check in the service whether the request ran before using a new key"
	}
}
