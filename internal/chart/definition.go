// Package chart interprets state charts, which are defined in YAML files under
// charts/. Guards and actions are names that are bound to functions in code.
//
// Parsing, which happens at start-up, fails for a chart with an unbound name, an
// unused binding, an unreachable state, a transition that is never taken or a
// state that does not handle some event.
package chart

import (
	"embed"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

//go:embed charts/*.yaml
var files embed.FS

// chartsDir is the directory of the embedded charts, one file per chart.
const chartsDir = "charts"

// definition is a decoded chart.
type definition struct {
	Name    string   `yaml:"name"`
	About   string   `yaml:"about"`
	Initial string   `yaml:"initial"`
	Events  []string `yaml:"events"`
	States  []state  `yaml:"states"`
}

// state is one state with its transitions. Ignore lists the events that have no
// effect in it.
type state struct {
	Name   string       `yaml:"name"`
	About  string       `yaml:"about"`
	On     []transition `yaml:"on"`
	Ignore []string     `yaml:"ignore"`
}

// transition handles an event. Of the transitions for an event, the first whose
// guard holds is taken.
type transition struct {
	Event string   `yaml:"event"`
	When  string   `yaml:"when"`
	Do    []string `yaml:"do"`
	To    string   `yaml:"to"`
}

// Source returns the text of an embedded chart.
func Source(name string) []byte {
	text, err := files.ReadFile(chartsDir + "/" + name + ".yaml")
	if err != nil {
		panic(invalid(name, "no such chart"))
	}
	return text
}

// Names returns the sorted names of the embedded charts.
func Names() []string {
	entries, _ := files.ReadDir(chartsDir)
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	sort.Strings(names)
	return names
}

// Mermaid renders an embedded chart as a Mermaid state diagram.
func Mermaid(name string) (string, error) {
	d, err := parseDefinition(Source(name))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%%%% %s: %s\nstateDiagram-v2\n  [*] --> %s\n", d.Name, d.About, d.Initial)
	for _, s := range d.States {
		for _, t := range s.On {
			fmt.Fprintf(&b, "  %s --> %s: %s\n", s.Name, t.target(s.Name), t.label())
		}
	}
	return b.String(), nil
}

// target returns the state after the transition from the given state.
func (t transition) target(from string) string {
	if t.To == "" {
		return from
	}
	return t.To
}

func (t transition) label() string {
	label := t.Event
	if t.When != "" {
		label += " [" + t.When + "]"
	}
	if len(t.Do) > 0 {
		label += " / " + strings.Join(t.Do, ", ")
	}
	return label
}

func parseDefinition(source []byte) (*definition, error) {
	var d definition
	if _, err := strictyaml.Decode(source, &d); err != nil {
		return nil, fault.Wrap("read chart", err)
	}
	return &d, d.validate()
}

// validate checks the rules that do not depend on bindings.
func (d *definition) validate() error {
	names := make([]string, 0, len(d.States))
	for _, s := range d.States {
		if slices.Contains(names, s.Name) {
			return invalid(d.Name, "state "+s.Name+" is defined twice")
		}
		names = append(names, s.Name)
	}
	if !slices.Contains(names, d.Initial) {
		return invalid(d.Name, "initial state "+d.Initial+" is not defined")
	}
	for _, s := range d.States {
		if err := d.validateState(s, names); err != nil {
			return err
		}
	}
	return d.validateReachability()
}

func (d *definition) validateState(s state, names []string) error {
	for _, t := range s.On {
		if !slices.Contains(d.Events, t.Event) {
			return invalid(d.Name, "state "+s.Name+" handles event "+t.Event+", which is not listed")
		}
		if t.To != "" && !slices.Contains(names, t.To) {
			return invalid(d.Name, "state "+s.Name+" has a transition to "+t.To+", which is not defined")
		}
	}
	for _, event := range s.Ignore {
		if !slices.Contains(d.Events, event) {
			return invalid(d.Name, "state "+s.Name+" ignores event "+event+", which is not listed")
		}
	}
	if event, ok := s.eventNeverTaken(); ok {
		return invalid(d.Name, "state "+s.Name+" has a transition for event "+event+" that is never taken")
	}
	for _, event := range d.Events {
		if !s.handles(event) {
			return invalid(d.Name, "state "+s.Name+" does not handle event "+event)
		}
	}
	return nil
}

// handles reports whether the state always handles the event: it ignores the event,
// or one of the transitions for it has no guard.
func (s state) handles(event string) bool {
	handled := slices.Contains(s.Ignore, event)
	for _, t := range s.On {
		if t.Event == event {
			handled = handled || t.When == ""
		}
	}
	return handled
}

// eventNeverTaken returns an event with a transition that is never taken, because
// the state ignores the event or has an earlier transition for it without a guard.
func (s state) eventNeverTaken() (string, bool) {
	handled := slices.Clone(s.Ignore)
	for _, t := range s.On {
		if slices.Contains(handled, t.Event) {
			return t.Event, true
		}
		if t.When == "" {
			handled = append(handled, t.Event)
		}
	}
	return "", false
}

// validateReachability rejects states that cannot be reached from the initial state.
func (d *definition) validateReachability() error {
	targets := map[string][]string{}
	for _, s := range d.States {
		for _, t := range s.On {
			targets[s.Name] = append(targets[s.Name], t.target(s.Name))
		}
	}
	reached := map[string]bool{d.Initial: true}
	for queue := []string{d.Initial}; len(queue) > 0; queue = queue[1:] {
		for _, to := range targets[queue[0]] {
			if !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	for _, s := range d.States {
		if !reached[s.Name] {
			return invalid(d.Name, "state "+s.Name+" cannot be reached")
		}
	}
	return nil
}

func invalid(chart, message string) error {
	return &fault.Error{Code: fault.CodeInternal, Message: "chart " + chart + ": " + message, Fix: "correct the chart or its bindings"}
}
