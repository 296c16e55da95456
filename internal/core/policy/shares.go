package policy

import "strings"

// maxSplits bounds the routes whose turn is remembered. Configurations may bring
// new route names for ever; a forgotten turn only begins anew.
const maxSplits = 4096

// Splitter deals the requests of routes with several services out by weight. It
// gives each next request to the service that is furthest behind its share
// (smooth weighted round robin), so that the shares are exact to within one
// request at any count, where a random draw is off by several in a hundred. It
// is not safe for concurrent use.
type Splitter struct {
	turns map[string]*turn
}

// turn is the state of one route's split.
type turn struct {
	shares string
	behind []float64
}

// NewSplitter makes an empty splitter.
func NewSplitter() *Splitter { return &Splitter{turns: map[string]*turn{}} }

// Next names the service for the route's next request; "" when the route has no
// service with a weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	state := s.turn(route)
	total, best := 0.0, -1
	for i, share := range route.Shares {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		state.behind[i] += share.Weight
		if best < 0 || state.behind[i] > state.behind[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.behind[best] -= total
	return route.Shares[best].Service
}

func (s *Splitter) turn(route *Route) *turn {
	shares := describe(route.Shares)
	state := s.turns[route.Name]
	if state != nil && state.shares == shares {
		return state
	}
	if len(s.turns) >= maxSplits {
		clear(s.turns)
	}
	state = &turn{shares: shares, behind: make([]float64, len(route.Shares))}
	s.turns[route.Name] = state
	return state
}

// describe tells two lists of services apart. New weights of the same services
// go on from where the former ones were.
func describe(shares []Share) string {
	var b strings.Builder
	for _, share := range shares {
		b.WriteString(share.Service)
		b.WriteByte('\n')
	}
	return b.String()
}
