package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	keyIDBytes    = 12
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Submission is a must-not-repeat request.
type Submission struct {
	Service  string
	Customer core.Customer
	Payload  json.RawMessage
}

// SubmissionResult is the result of a submission. Outcome is that of the whole
// request, over all attempts and keys.
type SubmissionResult struct {
	Outcome core.Outcome    `json:"-"`
	Key     string          `json:"key"`
	Tries   int             `json:"tries"`
	Reply   api.SubmitReply `json:"reply"`
	// Refusal is the last refusal if the outcome is not done.
	Refusal api.ErrorReply `json:"refusal"`
}

// NewKey returns a key that consists of the prefix and a random id.
func NewKey(prefix string) (string, error) {
	var id [keyIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fault.Wrap("generate key", err)
	}
	return prefix + "." + hex.EncodeToString(id[:]), nil
}

// Submit sends one attempt to the entry at address. It returns a reply if the outcome
// is done, else a refusal. An attempt without an answer is a refusal too; its ThisTry
// is "not_run" if the connection failed.
func (c *Client) Submit(ctx context.Context, address, service string, request api.SubmitRequest) (api.SubmitReply, api.ErrorReply) {
	var reply api.SubmitReply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, api.ErrorReply{Outcome: core.NotRun.String(), Code: fault.CodeBadRequest, Message: err.Error()}
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/submit/"+service, bytes.NewReader(body))
	if err != nil {
		return reply, api.ErrorReply{Outcome: core.NotRun.String(), Code: fault.CodeBadRequest, Message: err.Error()}
	}
	post.Header.Set("Content-Type", "application/json")
	return c.submitOnce(post)
}

func (c *Client) submitOnce(post *http.Request) (api.SubmitReply, api.ErrorReply) {
	var reply api.SubmitReply
	response, err := c.http.Do(post)
	if err != nil {
		return reply, noAnswer(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			return api.SubmitReply{}, noAnswer(err)
		}
		return reply, api.ErrorReply{}
	}
	var refusal api.ErrorReply
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil || refusal.Code == "" {
		return reply, noAnswer(err)
	}
	return reply, refusal
}

func noAnswer(err error) api.ErrorReply {
	refusal := api.ErrorReply{Outcome: core.Unknown.String(), Code: fault.CodeLost, Message: "no answer from the entry"}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		refusal.ThisTry = core.NotRun.String()
	}
	return refusal
}

// SubmitOnce runs a submission until its outcome is known or the context ends. It
// fetches a key prefix from any of the addresses, then repeats one key through the
// entries in turn. It uses a new key only if the former key is proven not to have
// run: its home reports that, or every attempt with it failed before it could run.
func (c *Client) SubmitOnce(ctx context.Context, addresses []string, submission Submission) (SubmissionResult, error) {
	run := submitRun{client: c, submission: submission}
	for i := 0; ; i++ {
		entries, err := c.Entries(ctx, addresses[i%len(addresses)])
		if err == nil && len(entries.Entries) > 0 && entries.KeyPrefix != "" {
			run.entries = entries
			break
		}
		if !wait.For(ctx, minRetryPause) {
			return run.result, fault.NotRun(fault.CodeNotReady, "no entry returned a key prefix before the deadline", "give the address of a running node")
		}
	}
	return run.execute(ctx)
}

// submitRun is the state of SubmitOnce.
type submitRun struct {
	client     *Client
	submission Submission
	entries    api.Entries
	result     SubmissionResult
	// noAttemptRan is set while every attempt with the current key is proven not to have run.
	noAttemptRan bool
}

func (r *submitRun) execute(ctx context.Context) (SubmissionResult, error) {
	prefix := r.entries.KeyPrefix
	for {
		if err := r.newKey(prefix); err != nil {
			return r.result, err
		}
		retry := r.repeatKey(ctx)
		if r.result.Outcome != core.NotRun || !retry {
			return r.result, nil
		}
		prefix = r.freshPrefix(ctx)
		if prefix == "" || !wait.For(ctx, r.retryPause()) {
			return r.result, nil
		}
	}
}

func (r *submitRun) newKey(prefix string) error {
	key, err := NewKey(prefix)
	r.result.Key, r.noAttemptRan = key, true
	return err
}

// freshPrefix returns the key prefix of the last refusal, or that of any entry that answers.
func (r *submitRun) freshPrefix(ctx context.Context) string {
	if r.result.Refusal.KeyPrefix != "" {
		return r.result.Refusal.KeyPrefix
	}
	for _, entry := range r.entries.Entries {
		if entries, err := r.client.Entries(ctx, entry.Address); err == nil && entries.KeyPrefix != "" {
			return entries.KeyPrefix
		}
	}
	return ""
}

// repeatKey repeats the current key until its outcome is known or the context ends. It
// reports whether a new key may succeed.
func (r *submitRun) repeatKey(ctx context.Context) bool {
	for {
		if !r.attempt(ctx) {
			return newKeyMaySucceed(r.result.Refusal.Code)
		}
		if r.noAttemptRan && r.result.Refusal.Code == fault.CodeHomeGone {
			r.result.Outcome = core.NotRun
			return true
		}
		if !wait.For(ctx, r.retryPause()) {
			if r.noAttemptRan {
				r.result.Outcome = core.NotRun
			}
			return false
		}
	}
}

// attempt makes one attempt and reports whether to repeat the key.
func (r *submitRun) attempt(ctx context.Context) bool {
	entry := r.entries.Entries[r.result.Tries%len(r.entries.Entries)]
	r.result.Tries++
	reply, refusal := r.client.Submit(ctx, entry.Address, r.submission.Service, r.request(ctx))
	r.result.Reply, r.result.Refusal = reply, refusal
	switch {
	case reply.Outcome == core.Done.String():
		r.result.Outcome = core.Done
		return false
	case isKeyNotRun(refusal):
		r.result.Outcome = core.NotRun
		return false
	}
	r.result.Outcome = core.Unknown
	r.noAttemptRan = r.noAttemptRan && isAttemptNotRun(refusal)
	if r.noAttemptRan && refusal.Code == fault.CodeTooLarge {
		r.result.Outcome = core.NotRun
		return false
	}
	// For an expired key or a stored outcome the home will never know more.
	return refusal.Code != fault.CodeKeyExpired && !refusal.Repeated
}

// isKeyNotRun reports whether the refusal proves that the key did not run. Only the
// submit path gives this proof, and it then returns a fresh prefix. A "not run" without
// a prefix, such as that of an entry at its connection limit, holds for the refused
// attempt alone; an earlier attempt through another entry may have run.
func isKeyNotRun(refusal api.ErrorReply) bool {
	return refusal.Outcome == core.NotRun.String() && refusal.KeyPrefix != ""
}

// isAttemptNotRun reports whether the refused attempt is proven not to have run.
func isAttemptNotRun(refusal api.ErrorReply) bool {
	return refusal.Outcome == core.NotRun.String() || refusal.ThisTry == core.NotRun.String()
}

func (r *submitRun) request(ctx context.Context) api.SubmitRequest {
	request := api.SubmitRequest{Customer: r.submission.Customer, Key: r.result.Key, Payload: r.submission.Payload}
	if deadline, ok := ctx.Deadline(); ok {
		remainingMs := max(1, time.Until(deadline).Milliseconds())
		request.TimeoutMs = &remainingMs
	}
	return request
}

func (r *submitRun) retryPause() time.Duration {
	retryAfter := time.Duration(r.result.Refusal.RetryAfterMs) * time.Millisecond
	return min(max(retryAfter, minRetryPause), maxRetryPause)
}

// newKeyMaySucceed reports whether a later attempt with a new key may avoid the refusal.
func newKeyMaySucceed(code fault.Code) bool {
	switch code {
	case fault.CodeDraining, fault.CodeOverloaded, fault.CodeKeyExpired, fault.CodeRefused, fault.CodeNotReady, fault.CodeHomeGone:
		return true
	}
	return false
}
