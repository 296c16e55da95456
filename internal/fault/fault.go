// Package fault defines the typed errors of the project. Each has a code, the outcome
// of the failed work and a suggested fix.
package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Code identifies a kind of failure. The texts are part of the callers'
// interface and must not change.
type Code string

// Failure codes.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnknownService  Code = "unknown_service"
	CodeUnknownCustomer Code = "unknown_customer"
	CodeUnknownPath     Code = "unknown_path"
	CodeUnknownMethod   Code = "unknown_method"
	CodeWrongMethod     Code = "wrong_method_for_service"
	CodeTooLarge        Code = "too_large"
	CodePastDeadline    Code = "past_deadline"
	CodeOverloaded      Code = "overloaded"
	CodeNotReady        Code = "not_ready"
	CodeDraining        Code = "draining"
	CodeKeyMissing      Code = "key_missing"
	CodeKeyInvalid      Code = "key_invalid"
	CodeKeyExpired      Code = "key_expired"
	CodeKeyReused       Code = "key_reused"
	CodeHomeGone        Code = "home_gone"
	CodeRefused         Code = "refused"
	CodeSetAside        Code = "set_aside"
	CodeLost            Code = "lost"
	CodeTextInvalid     Code = "text_invalid"
	CodeSettingsInvalid Code = "settings_invalid"
	CodeTLS             Code = "tls"
	CodePeer            Code = "peer"
	CodePlatform        Code = "platform"
	CodeUpstream        Code = "upstream"
	CodeAddress         Code = "address"
	CodeInternal        Code = "internal"
)

// Error is a typed failure. Message names the offending value and the limit, Fix the
// remedy. RetryAfter is zero if a later retry would not help.
type Error struct {
	Code       Code
	Outcome    core.Outcome
	Message    string
	Fix        string
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Code) + ": " + e.Message
	if e.Fix != "" {
		text += " (" + e.Fix + ")"
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun returns a failure of work that is proven not to have run.
func NotRun(code Code, message, fix string) *Error {
	return &Error{Code: code, Outcome: core.NotRun, Message: message, Fix: fix}
}

// ListenFailed returns a failure to listen on an address of this VM.
func ListenFailed(address string, cause error) *Error {
	return &Error{
		Code:    CodeAddress,
		Message: "cannot listen on " + address,
		Fix:     "choose a free address of this VM in the settings",
		Cause:   cause,
	}
}

// Wrap adds the name of the failed step to err; a nil err stays nil. As still finds the
// typed failure in the result.
func Wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	return oops.In(step).Wrapf(err, "%s", step)
}

// As returns the typed failure in err. An error without one becomes CodeInternal with
// an unknown outcome.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Code: CodeInternal, Message: "unexpected failure", Cause: err}
}
