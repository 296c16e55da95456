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
	callerIDBytes  = 12
	submitPause    = 50 * time.Millisecond
	maxSubmitPause = 2 * time.Second
)

// Submission is a must-not-repeat request.
type Submission struct {
	Service  string
	Customer core.Customer
	Payload  json.RawMessage
}

// SubmissionResult is the end of a submission. Outcome holds for the request as a
// whole, over all tries and keys.
type SubmissionResult struct {
	Outcome core.Outcome    `json:"-"`
	Key     string          `json:"key"`
	Tries   int             `json:"tries"`
	Reply   api.SubmitReply `json:"reply"`
	// Refusal is the last refusal when the outcome is not done.
	Refusal api.ErrorReply `json:"refusal"`
}

// NewKey makes a key of the prefix with a random id.
func NewKey(prefix string) (string, error) {
	var id [callerIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fault.Step("make a key", err)
	}
	return prefix + "." + hex.EncodeToString(id[:]), nil
}

// Submit sends one try to the entry at address. The reply is filled when it was
// done, else the refusal; an unanswered try is a refusal too, whose ThisTry says
// when no connection was had.
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
		return reply, unanswered(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			return api.SubmitReply{}, unanswered(err)
		}
		return reply, api.ErrorReply{}
	}
	var refusal api.ErrorReply
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil || refusal.Code == "" {
		return reply, unanswered(err)
	}
	return reply, refusal
}

func unanswered(err error) api.ErrorReply {
	refusal := api.ErrorReply{Outcome: core.Unknown.String(), Code: fault.CodeLost, Message: "the entry gave no answer"}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		refusal.ThisTry = core.NotRun.String()
	}
	return refusal
}

// SubmitOnce runs a submission to its end: it fetches a prefix at any of the
// addresses, then repeats one key through the entries in turn until the outcome
// is known or the context ends. Only when a key is proven not run, by its home or
// because no try of it ever arrived, does it go on with a new key.
func (c *Client) SubmitOnce(ctx context.Context, addresses []string, submission Submission) (SubmissionResult, error) {
	run := submitRun{client: c, submission: submission}
	for i := 0; ; i++ {
		entries, err := c.Entries(ctx, addresses[i%len(addresses)])
		if err == nil && len(entries.Entries) > 0 && entries.KeyPrefix != "" {
			run.entries = entries
			break
		}
		if !wait.For(ctx, submitPause) {
			return run.end, fault.NotRun(fault.CodeNotReady, "no entry gave a key prefix in time", "give the address of a running node")
		}
	}
	return run.run(ctx)
}

// submitRun is the state of SubmitOnce.
type submitRun struct {
	client     *Client
	submission Submission
	entries    api.Entries
	end        SubmissionResult
	// clean is set while no try of the present key may have arrived.
	clean bool
}

func (r *submitRun) run(ctx context.Context) (SubmissionResult, error) {
	prefix := r.entries.KeyPrefix
	for {
		if err := r.newKey(prefix); err != nil {
			return r.end, err
		}
		again := r.tryKey(ctx)
		if r.end.Outcome != core.NotRun || !again {
			return r.end, nil
		}
		prefix = r.freshPrefix(ctx)
		if prefix == "" || !wait.For(ctx, r.wait()) {
			return r.end, nil
		}
	}
}

func (r *submitRun) newKey(prefix string) error {
	key, err := NewKey(prefix)
	r.end.Key, r.clean = key, true
	return err
}

// freshPrefix is the refusal's own, or that of any entry that answers.
func (r *submitRun) freshPrefix(ctx context.Context) string {
	if r.end.Refusal.KeyPrefix != "" {
		return r.end.Refusal.KeyPrefix
	}
	for _, entry := range r.entries.Entries {
		if entries, err := r.client.Entries(ctx, entry.Address); err == nil && entries.KeyPrefix != "" {
			return entries.KeyPrefix
		}
	}
	return ""
}

// tryKey repeats the present key until its outcome is known. It reports whether
// a new key may fare better.
func (r *submitRun) tryKey(ctx context.Context) bool {
	for {
		if !r.try(ctx) {
			return mayFareBetter(r.end.Refusal.Code)
		}
		if r.clean && r.end.Refusal.Code == fault.CodeHomeGone {
			r.end.Outcome = core.NotRun
			return true
		}
		if !wait.For(ctx, r.wait()) {
			if r.clean {
				r.end.Outcome = core.NotRun
			}
			return false
		}
	}
}

// try makes one try and reports whether the key's outcome is still open.
func (r *submitRun) try(ctx context.Context) bool {
	entry := r.entries.Entries[r.end.Tries%len(r.entries.Entries)]
	r.end.Tries++
	reply, refusal := r.client.Submit(ctx, entry.Address, r.submission.Service, r.request(ctx))
	r.end.Reply, r.end.Refusal = reply, refusal
	switch {
	case reply.Outcome == core.Done.String():
		r.end.Outcome = core.Done
		return false
	case keyNotRun(refusal):
		r.end.Outcome = core.NotRun
		return false
	}
	r.end.Outcome = core.Unknown
	r.clean = r.clean && tryNotRun(refusal)
	if r.clean && refusal.Code == fault.CodeTooLarge {
		r.end.Outcome = core.NotRun
		return false
	}
	// A key of which the home itself knows no more will not become known.
	return refusal.Code != fault.CodeKeyExpired && !refusal.Repeated
}

// keyNotRun reports whether the refusal speaks of the key. Only the submit path
// does, and it then gives a fresh prefix; a "not run" without one, such as that
// of an entry with too many connections, speaks of the refused try alone, and an
// earlier try through another entry may have run.
func keyNotRun(refusal api.ErrorReply) bool {
	return refusal.Outcome == core.NotRun.String() && refusal.KeyPrefix != ""
}

// tryNotRun reports whether the refused try is proven not to have run.
func tryNotRun(refusal api.ErrorReply) bool {
	return refusal.Outcome == core.NotRun.String() || refusal.ThisTry == core.NotRun.String()
}

func (r *submitRun) request(ctx context.Context) api.SubmitRequest {
	request := api.SubmitRequest{Customer: r.submission.Customer, Key: r.end.Key, Payload: r.submission.Payload}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		request.TimeoutMs = &left
	}
	return request
}

func (r *submitRun) wait() time.Duration {
	asked := time.Duration(r.end.Refusal.RetryAfterMs) * time.Millisecond
	return min(max(asked, submitPause), maxSubmitPause)
}

// mayFareBetter lists refusals that a later try under a new key may not meet.
func mayFareBetter(code fault.Code) bool {
	switch code {
	case fault.CodeDraining, fault.CodeOverloaded, fault.CodeKeyExpired, fault.CodeRefused, fault.CodeNotReady, fault.CodeHomeGone:
		return true
	}
	return false
}
