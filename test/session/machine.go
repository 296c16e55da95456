package session

import (
	"fmt"
	"strings"
	"time"
)

// machine is a decision machine that a session can drive.
type machine interface {
	// header takes a header line.
	header(l line) error
	// step takes an event and returns the machine's actions.
	step(now time.Duration, l line) ([]any, error)
	// name renders values that the reader knows by another name, such as the
	// number of a shard.
	name(field string, value any) (string, bool)
}

// machines makes each machine by the name that sessions use.
var machines = map[string]func() machine{
	"query":  newQuery,
	"admit":  newAdmit,
	"config": newConfig,
}

// Run replays a session and returns its text with the actions after each event.
func Run(text string) (string, error) {
	lines, err := parseLines(text)
	if err != nil {
		return "", err
	}
	var m machine
	var out strings.Builder
	last := time.Duration(0)
	for _, l := range lines {
		out.WriteString(l.text + "\n")
		switch {
		case l.word == "":
		case l.word == "machine":
			m, err = newMachine(l)
		case m == nil:
			err = l.fault("the first line must be: machine NAME")
		case !l.isEvent:
			err = m.header(l)
		case l.at < last:
			err = l.fault("the time runs backwards")
		default:
			last = l.at
			err = stepInto(&out, m, l)
		}
		if err != nil {
			return "", err
		}
	}
	return out.String(), nil
}

func newMachine(l line) (machine, error) {
	create := machines[l.name]
	if create == nil {
		return nil, l.fault("there is no machine %q", l.name)
	}
	return create(), nil
}

func stepInto(out *strings.Builder, m machine, l line) error {
	actions, err := m.step(l.at, l)
	if err != nil {
		return err
	}
	for _, action := range actions {
		fmt.Fprintf(out, "    -> %s\n", render(action, m.name))
	}
	return nil
}

// steps adapts a slice of a machine's own action type.
func steps[A any](actions []A) []any {
	list := make([]any, 0, len(actions))
	for _, action := range actions {
		list = append(list, action)
	}
	return list
}
