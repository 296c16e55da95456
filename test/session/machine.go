package session

import (
	"fmt"
	"strings"
	"time"
)

// machine adapts a state machine to sessions.
type machine interface {
	// header applies a header line.
	header(l line) error
	// step passes an event to the state machine and returns its actions.
	step(now time.Duration, l line) ([]any, error)
	// displayName returns the name that sessions use for a value, such as a shard's
	// name for its number; false if there is none.
	displayName(field string, value any) (string, bool)
}

// machines holds the constructors by the machine names that sessions use.
var machines = map[string]func() machine{
	"query":  newQuery,
	"admit":  newAdmit,
	"config": newConfig,
}

// Run replays a session and returns its text with the resulting actions below each
// event.
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
			err = l.errorf("the first line must be: machine NAME")
		case !l.isEvent:
			err = m.header(l)
		case l.at < last:
			err = l.errorf("the time is before that of the previous event")
		default:
			last = l.at
			err = writeStep(&out, m, l)
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
		return nil, l.errorf("unknown machine %q", l.name)
	}
	return create(), nil
}

func writeStep(out *strings.Builder, m machine, l line) error {
	actions, err := m.step(l.at, l)
	if err != nil {
		return err
	}
	for _, action := range actions {
		fmt.Fprintf(out, "    -> %s\n", render(action, m.displayName))
	}
	return nil
}

// anySlice converts a slice of a machine's action type.
func anySlice[A any](actions []A) []any {
	list := make([]any, 0, len(actions))
	for _, action := range actions {
		list = append(list, action)
	}
	return list
}
