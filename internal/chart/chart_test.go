package chart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const lamp = `
name: lamp
initial: off
events: [press, cut]
states:
  - name: "on"
    on: [{event: press, to: "off", do: [count]}, {event: cut, to: "off"}]
  - name: "off"
    on: [{event: press, when: powered, to: "on", do: [count]}, {event: press}]
    ignore: [cut]
`

type lampState struct {
	powered bool
	presses int
}

func lampBindings() Bindings[*lampState] {
	return Bindings[*lampState]{
		Guards:  map[string]func(*lampState) bool{"powered": func(l *lampState) bool { return l.powered }},
		Actions: map[string]func(*lampState){"count": func(l *lampState) { l.presses++ }},
	}
}

func TestFireTakesTheFirstTransitionWhoseGuardHolds(t *testing.T) {
	m, err := Parse([]byte(lamp), lampBindings())
	require.NoError(t, err)
	subject := &lampState{}
	require.Equal(t, "off", m.Name(m.Fire(0, m.Event("press"), subject)))
	subject.powered = true
	require.Equal(t, "on", m.Name(m.Fire(0, m.Event("press"), subject)))
	require.Equal(t, 1, subject.presses)
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := map[string]struct {
		source  string
		message string
	}{
		"unbound guard":     {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e, when: nobody}, {event: e}]}]", "guard nobody is not bound"},
		"unbound action":    {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e, do: [nothing]}]}]", "action nothing is not bound"},
		"unreachable state": {"name: a\ninitial: s\nevents: []\nstates: [{name: s}, {name: t}]", "state t cannot be reached"},
		"unhandled event":   {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s}]", "state s does not handle event e"},
		"unused binding":    {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e, do: [count]}]}]", "guard powered is bound but not used"},
		"unused action":     {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e, when: powered}, {event: e}]}]", "action count is bound but not used"},
		"never taken":       {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e}, {event: e, when: powered}]}]", "a transition for event e that is never taken"},
		"ignored and taken": {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e}], ignore: [e]}]", "a transition for event e that is never taken"},
		"guarded only":      {"name: a\ninitial: s\nevents: [e]\nstates: [{name: s, on: [{event: e, when: powered}]}]", "state s does not handle event e"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.source), lampBindings())
			require.ErrorContains(t, err, c.message)
		})
	}
}

func TestEveryEmbeddedChartIsValid(t *testing.T) {
	require.NotEmpty(t, Names())
	for _, name := range Names() {
		text, err := Mermaid(name)
		require.NoError(t, err)
		require.Contains(t, text, "stateDiagram-v2")
	}
}
