package chart

// State is a state of one chart. The zero value is the initial state.
type State int

// Event is an event of one chart.
type Event int

// Bindings map the names of a chart's guards and actions to functions. T is the type
// of the subject that they operate on.
type Bindings[T any] struct {
	Guards  map[string]func(T) bool
	Actions map[string]func(T)
}

// Machine is a chart with its bindings. It does not hold a current state and is
// safe for concurrent use.
type Machine[T any] struct {
	name   string
	states []string
	events map[string]Event
	// table lists the transitions of each state and event. The index is the state
	// times the number of events, plus the event.
	table [][]boundTransition[T]
}

// boundTransition is a transition with its functions. A nil guard always holds.
type boundTransition[T any] struct {
	guard   func(T) bool
	actions []func(T)
	to      State
}

// Parse parses a chart and binds its guards and actions.
func Parse[T any](source []byte, bindings Bindings[T]) (*Machine[T], error) {
	d, err := parseDefinition(source)
	if err != nil {
		return nil, err
	}
	m := &Machine[T]{name: d.Name, events: map[string]Event{}}
	for i, event := range d.Events {
		m.events[event] = Event(i)
	}
	order := stateOrder(d)
	for _, s := range order {
		m.states = append(m.states, s.Name)
	}
	m.table = make([][]boundTransition[T], len(order)*len(d.Events))
	for from, s := range order {
		for _, t := range s.On {
			bound, err := bind(d, t, bindings)
			if err != nil {
				return nil, err
			}
			bound.to = m.State(t.target(s.Name))
			cell := from*len(d.Events) + int(m.events[t.Event])
			m.table[cell] = append(m.table[cell], bound)
		}
	}
	return m, checkUnused(d, bindings)
}

// Must is like Parse but panics if the chart is invalid. It is for the embedded
// charts, so that the program does not start with an invalid one.
func Must[T any](source []byte, bindings Bindings[T]) *Machine[T] {
	m, err := Parse(source, bindings)
	if err != nil {
		panic(err)
	}
	return m
}

// stateOrder returns the states with the initial state first.
func stateOrder(d *definition) []state {
	var order []state
	for _, s := range d.States {
		if s.Name == d.Initial {
			order = append([]state{s}, order...)
			continue
		}
		order = append(order, s)
	}
	return order
}

func bind[T any](d *definition, t transition, bindings Bindings[T]) (boundTransition[T], error) {
	var bound boundTransition[T]
	if t.When != "" {
		bound.guard = bindings.Guards[t.When]
		if bound.guard == nil {
			return bound, invalid(d.Name, "guard "+t.When+" is not bound")
		}
	}
	for _, name := range t.Do {
		action := bindings.Actions[name]
		if action == nil {
			return bound, invalid(d.Name, "action "+name+" is not bound")
		}
		bound.actions = append(bound.actions, action)
	}
	return bound, nil
}

// checkUnused rejects bindings that no transition uses: their code would never run.
func checkUnused[T any](d *definition, bindings Bindings[T]) error {
	guards, actions := map[string]bool{}, map[string]bool{}
	for _, s := range d.States {
		for _, t := range s.On {
			guards[t.When] = true
			for _, name := range t.Do {
				actions[name] = true
			}
		}
	}
	for name := range bindings.Guards {
		if !guards[name] {
			return invalid(d.Name, "guard "+name+" is bound but not used")
		}
	}
	for name := range bindings.Actions {
		if !actions[name] {
			return invalid(d.Name, "action "+name+" is bound but not used")
		}
	}
	return nil
}

// State returns the state with the given name and panics if there is none.
func (m *Machine[T]) State(name string) State {
	for i, state := range m.states {
		if state == name {
			return State(i)
		}
	}
	panic(invalid(m.name, "no state "+name))
}

// Event returns the event with the given name and panics if there is none.
func (m *Machine[T]) Event(name string) Event {
	event, ok := m.events[name]
	if !ok {
		panic(invalid(m.name, "no event "+name))
	}
	return event
}

// Name returns the name of a state.
func (m *Machine[T]) Name(state State) string { return m.states[state] }

// Fire handles an event: it runs the actions of the first transition whose guard
// holds and returns the next state. An ignored event leaves the state as it is.
func (m *Machine[T]) Fire(from State, event Event, subject T) State {
	for _, candidate := range m.table[int(from)*len(m.events)+int(event)] {
		if candidate.guard != nil && !candidate.guard(subject) {
			continue
		}
		for _, action := range candidate.actions {
			action(subject)
		}
		return candidate.to
	}
	return from
}
