package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const awaitLimit = 10 * time.Second

// scriptedEntry is an entry that returns the given answers to submit attempts in order.
type scriptedEntry struct {
	*httptest.Server
	mutex   sync.Mutex
	answers []any
	keys    []string
}

func startScriptedEntry(t *testing.T, answers ...any) *scriptedEntry {
	t.Helper()
	s := &scriptedEntry{answers: answers}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *scriptedEntry) address() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *scriptedEntry) serve(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.URL.Path == "/v1/entries" {
		_ = json.NewEncoder(w).Encode(api.Entries{Entries: []api.EntryAddress{{Address: s.address()}}, KeyPrefix: "p"})
		return
	}
	var request api.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.keys = append(s.keys, request.Key)
	next := s.answers[0]
	s.answers = s.answers[1:]
	if _, refused := next.(api.ErrorReply); refused {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(next)
}

var (
	done        = api.SubmitReply{Outcome: "done"}
	lost        = api.ErrorReply{Outcome: "unknown", Code: fault.CodeLost}
	fullEntry   = api.ErrorReply{Outcome: "not_run", Code: fault.CodeOverloaded}
	keyRefused  = api.ErrorReply{Outcome: "not_run", Code: fault.CodeDraining, KeyPrefix: "q"}
	unreachable = api.ErrorReply{Outcome: "unknown", Code: fault.CodeHomeGone, ThisTry: "not_run"}
)

// A request runs twice: its first attempt may have run, an entry refuses the connection
// of the second as "not run", and a client that takes this for the key's outcome uses a
// new key. A new key is allowed only if the home reports "not run" or if no attempt
// with the old key can have run.
func TestANewKeyOnlyWhenTheOldNeverRuns(t *testing.T) {
	cases := map[string]struct {
		answers []any
		sameKey bool
	}{
		"after lost":                  {[]any{lost, done}, true},
		"refused after lost":          {[]any{lost, fullEntry, done}, true},
		"home unreachable after lost": {[]any{lost, unreachable, done}, true},
		"refused by the home":         {[]any{lost, keyRefused, done}, false},
		"home unreachable, none ran":  {[]any{fullEntry, unreachable, done}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			entry := startScriptedEntry(t, test.answers...)
			caller := New()
			defer caller.Close()
			ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
			defer cancel()
			submitted, err := caller.SubmitOnce(ctx, []string{entry.address()}, Submission{Service: "fees"})
			require.NoError(t, err)
			require.Equal(t, core.Done, submitted.Outcome)
			require.Len(t, entry.keys, len(test.answers))
			require.Equal(t, test.sameKey, entry.keys[0] == entry.keys[len(entry.keys)-1])
		})
	}
}
