package api

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// ErrorReply is the body of every failed request.
type ErrorReply struct {
	Outcome string     `json:"outcome"`
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Fix     string     `json:"fix,omitempty"`
	// Detail is the cause as text; its wording may change.
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// The fields below are for must-not-repeat requests only. ThisTry is "not_run"
	// if this attempt did not run although the outcome of its key is unknown.
	ThisTry   string `json:"this_try,omitempty"`
	Repeated  bool   `json:"repeated,omitempty"`
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// writeError answers a request with a typed error.
func writeError(c *gin.Context, err error) {
	typed := fault.As(err)
	detail := ""
	if typed.Cause != nil {
		detail = typed.Cause.Error()
	}
	c.JSON(httpStatus(typed.Code), ErrorReply{
		Detail:       detail,
		Outcome:      typed.Outcome.String(),
		Code:         typed.Code,
		Message:      typed.Message,
		Fix:          typed.Fix,
		RetryAfterMs: typed.RetryAfter.Milliseconds(),
	})
}

// httpStatus returns the HTTP status for an error code.
func httpStatus(code fault.Code) int {
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
	case fault.CodeNotReady, fault.CodeDraining, fault.CodeRefused, fault.CodeSetAside:
		return http.StatusServiceUnavailable
	case fault.CodeHomeGone, fault.CodeLost:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// ErrorFromReply converts the body of a failed request back to its typed error.
func ErrorFromReply(reply ErrorReply) error {
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
