package once

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	searchDepth  = 7
	searchTries  = 2
	randomMoves  = 60
	randomTries  = 6
	randomRuns   = "2000"
	rareOneIn    = 10
	leastVisited = 10_000
)

// search visits every order of moves up to a depth. States with the same future
// are visited once, at the greatest depth left.
type search struct {
	t       *testing.T
	visited map[string]int
	orders  int
}

// TestEveryOrderOfMoves: an invoice is sent through two entries while messages
// are lost or late, the owner pauses, the home restarts or stops. However these
// follow each other, it must be recorded at most once and no caller may be told
// what is not so.
func TestEveryOrderOfMoves(t *testing.T) {
	s := &search{t: t, visited: map[string]int{}}
	s.from(nil, searchDepth)
	for _, beginning := range []string{"done", "overloaded"} {
		s.from(finished(beginning), searchDepth)
	}
	t.Logf("%d states, %d orders of moves, depth %d, %d tries", len(s.visited), s.orders, searchDepth, searchTries)
	require.Greater(t, len(s.visited), leastVisited)
}

func (s *search) from(path []int, left int) {
	w, names := replay(path)
	s.orders++
	require.Empty(s.t, w.check(), "after: %s", strings.Join(names, "; "))
	state := w.fingerprint()
	if seen, ok := s.visited[state]; ok && seen >= left {
		return
	}
	s.visited[state] = left
	if left == 0 {
		return
	}
	for i := range w.moves() {
		s.from(append(path[:len(path):len(path)], i), left-1)
	}
}

// finished is the shortest way to an outcome that the home keeps, from which the
// search reaches what may follow it.
func finished(end string) []int {
	var path []int
	for _, wanted := range []string{"caller tries", "deliver ask 1", "owner: " + end + " 1", "deliver reply 1"} {
		w, _ := replay(path)
		for i, next := range w.moves() {
			if next.name == wanted {
				path = append(path, i)
			}
		}
	}
	return path
}

func replay(path []int) (*world, []string) {
	w := newWorld(searchTries)
	var names []string
	for _, i := range path {
		next := w.moves()[i]
		names = append(names, next.name)
		next.do()
	}
	return w, names
}

// TestRandomMoves goes deeper than the search, with more tries.
func TestRandomMoves(t *testing.T) {
	made := 0
	require.NoError(t, flag.Set("rapid.checks", randomRuns))
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(randomTries)
		var names []string
		for range randomMoves {
			next, ok := drawMove(r, w.moves())
			if !ok {
				return
			}
			made++
			names = append(names, next.name)
			next.do()
			if broken := w.check(); broken != "" {
				r.Fatalf("%s, after: %s", broken, strings.Join(names, "; "))
			}
		}
	})
	t.Logf("%d moves", made)
}

// drawMove draws rare moves less often, so that much happens between them.
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
