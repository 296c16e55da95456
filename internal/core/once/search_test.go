package once

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	searchDepth      = 7
	searchAttempts   = 2
	randomMoves      = 60
	randomAttempts   = 6
	randomRuns       = "2000"
	rareOneIn        = 10
	minVisitedStates = 10_000
)

// search visits every order of moves up to a depth. States with the same future are
// visited again only with a greater remaining depth.
type search struct {
	t       *testing.T
	visited map[string]int
	orders  int
}

// TestEveryOrderOfMoves submits one key through two entries while messages are lost or
// late, the owner pauses, and the home restarts or stops. In every order of these
// events the request must run at most once and every reported outcome must be true.
func TestEveryOrderOfMoves(t *testing.T) {
	s := &search{t: t, visited: map[string]int{}}
	s.from(nil, searchDepth)
	for _, beginning := range []string{"done", "overloaded"} {
		s.from(pathToOutcome(beginning), searchDepth)
	}
	t.Logf("%d states, %d orders of moves, depth %d, %d attempts", len(s.visited), s.orders, searchDepth, searchAttempts)
	require.Greater(t, len(s.visited), minVisitedStates)
}

func (s *search) from(path []int, left int) {
	sim, names := replay(path)
	s.orders++
	require.Empty(s.t, sim.check(), "after: %s", strings.Join(names, "; "))
	state := sim.fingerprint()
	if seen, ok := s.visited[state]; ok && seen >= left {
		return
	}
	s.visited[state] = left
	if left == 0 {
		return
	}
	for i := range sim.moves() {
		s.from(append(path[:len(path):len(path)], i), left-1)
	}
}

// pathToOutcome returns the shortest path to an outcome stored by the home. Searching
// from there reaches the states after it.
func pathToOutcome(end string) []int {
	var path []int
	for _, wanted := range []string{"caller submits", "deliver request 1", "owner: " + end + " 1", "deliver reply 1"} {
		sim, _ := replay(path)
		for i, next := range sim.moves() {
			if next.name == wanted {
				path = append(path, i)
			}
		}
	}
	return path
}

func replay(path []int) (*simulation, []string) {
	sim := newSimulation(searchAttempts)
	var names []string
	for _, i := range path {
		next := sim.moves()[i]
		names = append(names, next.name)
		next.do()
	}
	return sim, names
}

// TestRandomMoves makes more moves than the search, with more attempts.
func TestRandomMoves(t *testing.T) {
	made := 0
	require.NoError(t, flag.Set("rapid.checks", randomRuns))
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(randomAttempts)
		var names []string
		for range randomMoves {
			next, ok := drawMove(r, sim.moves())
			if !ok {
				return
			}
			made++
			names = append(names, next.name)
			next.do()
			if broken := sim.check(); broken != "" {
				r.Fatalf("%s, after: %s", broken, strings.Join(names, "; "))
			}
		}
	})
	t.Logf("%d moves", made)
}

// drawMove draws rare moves less often, so that more moves are made between them.
func drawMove(r *rapid.T, moves []move) (move, bool) {
	if len(moves) == 0 {
		return move{}, false
	}
	next := moves[rapid.IntRange(0, len(moves)-1).Draw(r, "move")]
	if next.rare && rapid.IntRange(0, rareOneIn-1).Draw(r, "rare") != 0 {
		next = moves[0]
	}
	return next, true
}
