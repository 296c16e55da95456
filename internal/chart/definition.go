// Package chart interprets state charts: life cycles written in YAML files under
// charts/, whose guards and actions are names bound in code.
//
// A chart with an unbound name, a bound name that it does not use, an unreachable
// state, a transition that is never taken or an event that some state does not
// answer fails when it is parsed, which is at start-up.
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

// folder holds the embedded charts, a file each.
const folder = "charts"

// definition is a chart as written.
type definition struct {
	Name    string   `yaml:"name"`
	About   string   `yaml:"about"`
	Initial string   `yaml:"initial"`
	Events  []string `yaml:"events"`
	States  []state  `yaml:"states"`
}

// state is one state with its answers to events. Ignore lists the events that
// change nothing in it.
type state struct {
	Name   string       `yaml:"name"`
	About  string       `yaml:"about"`
	On     []transition `yaml:"on"`
	Ignore []string     `yaml:"ignore"`
}

// transition answers an event: the first one whose guard holds is taken.
type transition struct {
	Event string   `yaml:"event"`
	When  string   `yaml:"when"`
	Do    []string `yaml:"do"`
	To    string   `yaml:"to"`
}

// Source returns the text of an embedded chart.
func Source(name string) []byte {
	text, err := files.ReadFile(folder + "/" + name + ".yaml")
	if err != nil {
		panic(invalid(name, "no such chart"))
	}
	return text
}

// Names lists the embedded charts.
func Names() []string {
	entries, _ := files.ReadDir(folder)
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	sort.Strings(names)
	return names
}

// Mermaid renders an embedded chart as a Mermaid state diagram.
func Mermaid(name string) (string, error) {
	d, err := read(Source(name))
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

// target is the state after the transition from the given one.
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

func read(source []byte) (*definition, error) {
	var d definition
	if _, err := strictyaml.Decode(source, &d); err != nil {
		return nil, fault.Wrap("read chart", err)
	}
	return &d, d.validate()
}

// validate checks what does not depend on bindings.
func (d *definition) validate() error {
	names := make([]string, 0, len(d.States))
	for _, s := range d.States {
		if slices.Contains(names, s.Name) {
			return invalid(d.Name, "state "+s.Name+" stands twice")
		}
		names = append(names, s.Name)
	}
	if !slices.Contains(names, d.Initial) {
		return invalid(d.Name, "initial state "+d.Initial+" is not written")
	}
	for _, s := range d.States {
		if err := d.validateState(s, names); err != nil {
			return err
		}
	}
	return d.validateReach()
}

func (d *definition) validateState(s state, names []string) error {
	for _, t := range s.On {
		if !slices.Contains(d.Events, t.Event) {
			return invalid(d.Name, "state "+s.Name+" answers event "+t.Event+", which is not listed")
		}
		if t.To != "" && !slices.Contains(names, t.To) {
			return invalid(d.Name, "state "+s.Name+" goes to "+t.To+", which is not written")
		}
	}
	for _, event := range s.Ignore {
		if !slices.Contains(d.Events, event) {
			return invalid(d.Name, "state "+s.Name+" ignores event "+event+", which is not listed")
		}
	}
	if event, ok := s.answeredTwice(); ok {
		return invalid(d.Name, "state "+s.Name+" has an answer to event "+event+" that is never taken")
	}
	for _, event := range d.Events {
		if !s.answers(event) {
			return invalid(d.Name, "state "+s.Name+" has no answer to event "+event)
		}
	}
	return nil
}

// answers reports whether the state always has an answer: it ignores the event,
// or the last transition for it has no guard.
func (s state) answers(event string) bool {
	answered := slices.Contains(s.Ignore, event)
	for _, t := range s.On {
		if t.Event == event {
			answered = answered || t.When == ""
		}
	}
	return answered
}

// answeredTwice finds an event that a state answers again after an answer that
// always holds.
func (s state) answeredTwice() (string, bool) {
	always := slices.Clone(s.Ignore)
	for _, t := range s.On {
		if slices.Contains(always, t.Event) {
			return t.Event, true
		}
		if t.When == "" {
			always = append(always, t.Event)
		}
	}
	return "", false
}

// validateReach refuses states that no transition leads to from the initial one.
func (d *definition) validateReach() error {
	targets := map[string][]string{}
	for _, s := range d.States {
		for _, t := range s.On {
			targets[s.Name] = append(targets[s.Name], t.target(s.Name))
		}
	}
	reached := map[string]bool{d.Initial: true}
	for open := []string{d.Initial}; len(open) > 0; open = open[1:] {
		for _, to := range targets[open[0]] {
			if !reached[to] {
				reached[to] = true
				open = append(open, to)
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
