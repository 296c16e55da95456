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
	// Key is a prefix of GET /v1/entries, a dot and an id of the caller's own.
	// Every retry repeats it, with the same body.
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
	// Repeated marks an outcome kept from an earlier try.
	Repeated bool `json:"repeated"`
	// Message says why a payload is missing.
	Message string `json:"message,omitempty"`
}

func (p CallerOptions) submit(c *gin.Context) {
	body, err := readBody(c, p.Body.MaxBytes)
	if err != nil {
		p.count(err)
		p.failTry(c, err)
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
	leave, err := p.Entry.Admit(submit.Customer)
	if err != nil {
		p.failTry(c, err)
		return
	}
	defer leave()
	reply := p.Home.Submit(c.Request.Context(), submit)
	if reply.Outcome == core.Done {
		c.JSON(http.StatusOK, toSubmitReply(submit, reply))
		return
	}
	p.writeRefused(c, reply)
}

// toSubmit checks the form of a request. A request that fails here is not run
// under any key: its body is not one that a home takes.
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
		// An upstream's reply that is not JSON goes out as a JSON text.
		out.Payload, _ = json.Marshal(string(reply.Payload))
	}
	return out
}

// failSubmit writes a typed error with a fresh prefix.
func (p CallerOptions) failSubmit(c *gin.Context, err error) {
	typed := fault.As(err)
	p.writeRefused(c, once.Reply{Outcome: typed.Outcome, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter})
}

// failTry writes the failure of a try that went no further than this entry: its
// body is too large, late or cut, or no place is free. It did not run, but an
// earlier one with the same key may have: its body may have arrived whole, or
// another entry may have let it in.
func (p CallerOptions) failTry(c *gin.Context, err error) {
	typed := fault.As(err)
	p.writeRefused(c, once.Reply{Outcome: core.Unknown, ThisTry: core.NotRun, Code: typed.Code, Message: typed.Message, RetryAfter: typed.RetryAfter})
}

// writeRefused writes an outcome other than done. A caller whose key is not run
// gets a fresh prefix: its next try needs a new key, since what was called "not
// run" never runs.
func (p CallerOptions) writeRefused(c *gin.Context, reply once.Reply) {
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
	if reply.ThisTry == core.NotRun {
		out.ThisTry = reply.ThisTry.String()
	}
	c.JSON(status(reply.Code), out)
}

func submitFix(reply once.Reply) string {
	switch {
	case reply.Outcome == core.NotRun && reply.Code == fault.CodeWrongMethod:
		return "use /v1/query for this service"
	case reply.Outcome == core.NotRun:
		return "to try again, append a new id to key_prefix"
	case reply.ThisTry == core.NotRun && reply.Code == fault.CodeOverloaded:
		return "ask again with the same key and body, after retry_after_ms or at another entry"
	case reply.ThisTry == core.NotRun:
		return "if no other try was made with this key, nothing ran: use a new key"
	case reply.Code == fault.CodeLost:
		return "ask again with the same key and body"
	default:
		return "look in the service itself before trying with a new key"
	}
}
