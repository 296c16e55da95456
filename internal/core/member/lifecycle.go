package member

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/chart"
)

// subject is the argument of the state chart's actions.
type subject struct {
	machine *Machine
	peer    *peer
}

// lifeCycle is the state chart of a node as seen by another node.
var lifeCycle = chart.Must(chart.Source("node"), chart.Bindings[subject]{
	Actions: map[string]func(subject){
		"spread":     func(s subject) { s.machine.recordChange(s.peer) },
		"note_death": func(s subject) { s.peer.deadAt = s.machine.now },
	},
})

var (
	stateUnknown = lifeCycle.State("unknown")
	stateLive    = lifeCycle.State("live")
	stateSuspect = lifeCycle.State("suspect")
	stateDead    = lifeCycle.State("dead")
	stateLeaving = lifeCycle.State("leaving")
	stateGone    = lifeCycle.State("gone")

	eventAnswered  = lifeCycle.Event("answered")
	eventDoubted   = lifeCycle.Event("doubted")
	eventConfirmed = lifeCycle.Event("confirmed_dead")
	eventLeft      = lifeCycle.Event("left")
	eventRenewed   = lifeCycle.Event("renewed")
)

func (p *peer) is(states ...chart.State) bool { return slices.Contains(states, p.state) }

func (m *Machine) fire(p *peer, event chart.Event) {
	before := p.state
	p.state = lifeCycle.Fire(before, event, subject{m, p})
	if p.state != before {
		m.changed = true
	}
}

// replaceProcess applies a new incarnation of a known node and discards the state of the earlier
// process.
func (m *Machine) replaceProcess(p *peer, incarnation uint64, version uint32) {
	p.incarnation = incarnation
	p.version = version
	p.witnesses = [witnessesNeeded]Witness{}
	delete(m.checks, p.node.ID)
	p.exchange = exchange{}
	m.fire(p, eventRenewed)
}

// State returns the name of a node's state, or "" for an unknown node.
func (m *Machine) State(id string) string {
	for known, p := range m.peers {
		if string(known) == id {
			return lifeCycle.Name(p.state)
		}
	}
	return ""
}
