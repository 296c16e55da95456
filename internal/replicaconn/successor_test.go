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
		found func(s *successors) []*Request
		ended bool
	}{
		"another one is listed":            {func(s *successors) []*Request { return s.listed(next, address, later) }, true},
		"its id is listed as started anew": {func(s *successors) []*Request { return s.listed(restarted, address, later) }, true},
		"it is misdirected":                {func(s *successors) []*Request { return s.misdirected(former, later) }, true},
		"it is listed again":               {func(s *successors) []*Request { return s.listed(former, address, later) }, false},
		"another address is listed":        {func(s *successors) []*Request { return s.listed(next, "10.0.0.2:80", later) }, false},
		"another one is misdirected":       {func(s *successors) []*Request { return s.misdirected(next, later) }, false},
		"another one is listed too late":   {func(s *successors) []*Request { return s.listed(next, address, tooLate) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessors()
			broken := []*Request{{Replica: former, Address: address, ID: "deadly"}}
			require.True(t, s.keep(broken, at))
			if !c.ended {
				require.Empty(t, c.found(s))
				return
			}
			require.Equal(t, broken, c.found(s))
			require.Empty(t, c.found(s), "an end is reported once")
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
	require.False(t, s.keep([]*Request{{Replica: former, Address: address}}, at))
	require.True(t, s.keep([]*Request{{Replica: next, Address: address}}, at))
	require.True(t, s.keep([]*Request{{Replica: former, Address: address}}, at.Add(successorTimeout)))
}

// Guards against broken requests that hold memory without bound while a network resets connections.
func TestKeptBrokenRequestsAreBounded(t *testing.T) {
	s := newSuccessors()
	at := time.Now()
	for range 2 * maxBrokenRequests {
		s.keep([]*Request{{Address: "10.0.0.1:80"}}, at)
	}
	require.Len(t, s.broken, maxBrokenRequests)
	s.expire(at.Add(successorTimeout))
	require.Empty(t, s.broken)
}
