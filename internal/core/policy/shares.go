package policy

import "strings"

// maxStates bounds the number of routes whose state is kept, since configurations may add new route names
// without limit. A dropped state only starts again from zero.
const maxStates = 4096

// Splitter distributes the requests of routes with several services by weight. Each request goes to the
// service with the largest deficit (smooth weighted round robin), so that the shares are exact to within one
// request at any count; a random choice would be off by several per hundred. It is not safe for concurrent
// use.
type Splitter struct {
	states map[string]*splitState
}

// splitState is the state of one route's split.
type splitState struct {
	services string
	deficits []float64
}

// NewSplitter returns an empty splitter.
func NewSplitter() *Splitter { return &Splitter{states: map[string]*splitState{}} }

// Next returns the service for the route's next request, or "" if no service of the route has a positive weight.
func (s *Splitter) Next(route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	state := s.state(route)
	total, best := 0.0, -1
	for i, share := range route.Shares {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		state.deficits[i] += share.Weight
		if best < 0 || state.deficits[i] > state.deficits[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	state.deficits[best] -= total
	return route.Shares[best].Service
}

func (s *Splitter) state(route *Route) *splitState {
	services := servicesKey(route.Shares)
	state := s.states[route.Name]
	if state != nil && state.services == services {
		return state
	}
	if len(s.states) >= maxStates {
		clear(s.states)
	}
	state = &splitState{services: services, deficits: make([]float64, len(route.Shares))}
	s.states[route.Name] = state
	return state
}

// servicesKey identifies a list of services. It leaves out the weights, so that a change of weights keeps the
// deficits.
func servicesKey(shares []Share) string {
	var b strings.Builder
	for _, share := range shares {
		b.WriteString(share.Service)
		b.WriteByte('\n')
	}
	return b.String()
}
