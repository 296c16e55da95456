package replicaconn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// Guards against missing the end of a replica that is restarted at once, and against reporting one where only an answer
// was lost.
func TestAnEndIsKnownOnceAnotherIncarnationIsFoundAtTheAddress(t *testing.T) {
	const address = "10.0.0.1:80"
	former, next := replica.Incarnation{ID: "i-1"}, replica.Incarnation{ID: "i-2"}
	restarted := replica.Incarnation{ID: "i-1", Born: 7}
	at := time.Now()
	later, tooLate := at.Add(successorTimeout-1), at.Add(successorTimeout)
	for name, c := range map[string]struct {
		found func(s *successors) []*brokenRequest
		ended bool
	}{
		"another one is listed":            {func(s *successors) []*brokenRequest { return s.listed(next, address, later) }, true},
		"its id is listed as started anew": {func(s *successors) []*brokenRequest { return s.listed(restarted, address, later) }, true},
		"it is misdirected":                {func(s *successors) []*brokenRequest { return s.misdirected(former, later) }, true},
		"it is listed again":               {func(s *successors) []*brokenRequest { return s.listed(former, address, later) }, false},
		"another address is listed":        {func(s *successors) []*brokenRequest { return s.listed(next, "10.0.0.2:80", later) }, false},
		"another one is misdirected":       {func(s *successors) []*brokenRequest { return s.misdirected(next, later) }, false},
		"another one is listed too late":   {func(s *successors) []*brokenRequest { return s.listed(next, address, tooLate) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessors()
			broken, kept := s.keep(&Request{Replica: former, Address: address, ID: "deadly"}, at)
			require.True(t, kept)
			if !c.ended {
				require.Empty(t, c.found(s))
				return
			}
			require.Equal(t, []*brokenRequest{broken}, c.found(s))
			require.Empty(t, c.found(s), "an end is reported once")
			require.Empty(t, s.refused([]*brokenRequest{broken}), "an end is reported once")
		})
	}
}

// Guards against missing the end of a replica whose next incarnation is listed before the break is noticed.
func TestABreakAfterTheNextIncarnationWasListedIsAnEnd(t *testing.T) {
	const address = "10.0.0.1:80"
	former, next := replica.Incarnation{ID: "i-1"}, replica.Incarnation{ID: "i-2"}
	at := time.Now()
	s := newSuccessors()
	s.listed(next, address, at)
	for _, c := range []struct {
		broken replica.Incarnation
		at     time.Time
		kept   bool
	}{{former, at, false}, {next, at, true}, {former, at.Add(successorTimeout), true}} {
		_, kept := s.keep(&Request{Replica: c.broken, Address: address}, c.at)
		require.Equal(t, c.kept, kept)
	}
}

// Guards against broken requests that hold memory without bound while a network resets connections.
func TestKeptBrokenRequestsAreBounded(t *testing.T) {
	s := newSuccessors()
	at := time.Now()
	first, _ := s.keep(&Request{Address: "10.0.0.1:80"}, at)
	for range 2 * maxBrokenRequests {
		s.keep(&Request{Address: "10.0.0.1:80"}, at)
	}
	require.Len(t, s.broken, maxBrokenRequests)
	require.Equal(t, []*brokenRequest{first}, s.refused([]*brokenRequest{first}), "a refused connection shows the end of those that are no longer kept")
	s.expire(at.Add(successorTimeout))
	require.Empty(t, s.broken)
}
