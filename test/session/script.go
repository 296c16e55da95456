// Package session replays scripts of events against the core state machines. A
// session is a text file: a header that configures the machine, and events with
// their virtual times. Run prints each event with the actions that the machine
// returned; the tests compare the output with golden files.
//
//	# The purpose of the session.
//	machine query
//	service base shards=2 bundle=1
//	service top shards=1 bundle=2 needs=base
//	options deadline=1s max_tries=3
//
//	at 0ms started
//	at 5ms part send=1 shard=base/0 version=7 serves=7,8
//
// A line is a word with key=value fields. Keys are the field names of the machine's
// exported types in snake case; list items are separated by commas. Lines that
// start with # are comments and are copied to the output.
package session

import (
	"fmt"
	"strings"
	"time"
)

// line is one line of a session.
type line struct {
	number int
	text   string
	// at is the event's time; isEvent is false for header lines.
	at      time.Duration
	isEvent bool
	word    string
	// name is the second word if it has no equals sign, such as a service's name.
	name   string
	fields []field
}

// field is one key=value pair of a line.
type field struct{ key, value string }

// Error is an error in a session's text.
type Error struct {
	Line    int
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

func (l line) errorf(format string, values ...any) error {
	return &Error{Line: l.number, Message: fmt.Sprintf(format, values...)}
}

func parseLines(text string) ([]line, error) {
	var lines []line
	for i, lineText := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		l := line{number: i + 1, text: lineText}
		words := strings.Fields(lineText)
		if len(words) > 0 && !strings.HasPrefix(words[0], "#") {
			if err := l.parse(words); err != nil {
				return nil, err
			}
		}
		lines = append(lines, l)
	}
	return lines, nil
}

func (l *line) parse(words []string) error {
	if words[0] == "at" {
		if len(words) < 3 {
			return l.errorf("expected: at TIME EVENT")
		}
		at, err := time.ParseDuration(words[1])
		if err != nil {
			return l.errorf("%q is not a duration such as 5ms", words[1])
		}
		l.at, l.isEvent = at, true
		words = words[2:]
	}
	l.word = words[0]
	for _, word := range words[1:] {
		key, value, ok := strings.Cut(word, "=")
		switch {
		case ok:
			l.fields = append(l.fields, field{key: key, value: value})
		case l.name == "" && len(l.fields) == 0:
			l.name = word
		default:
			return l.errorf("expected KEY=VALUE, got %q", word)
		}
	}
	return nil
}
