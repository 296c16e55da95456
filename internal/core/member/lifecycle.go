package member

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/chart"
)

// subject is what the chart's actions work on.
type subject struct {
	machine *Machine
	peer    *peer
}

// lifeCycle is the life cycle of a node as another one believes it.
var lifeCycle = chart.Must(chart.Source("node"), chart.Bindings[subject]{
	Actions: map[string]func(subject){
		"spread":     func(s subject) { s.machine.tell(s.peer) },
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

// renew takes up a new incarnation under a known id: what was believed of the
// former process says nothing of this one.
func (m *Machine) renew(p *peer, incarnation uint64, version uint32) {
	p.incarnation = incarnation
	p.version = version
	p.witnesses = [witnessesNeeded]Witness{}
	delete(m.doubts, p.node.ID)
	p.exchange = exchange{}
	m.fire(p, eventRenewed)
}

// State names the believed state of a node, or "" for one not known.
func (m *Machine) State(id string) string {
	for known, p := range m.peers {
		if string(known) == id {
			return lifeCycle.Name(p.state)
		}
	}
	return ""
}
