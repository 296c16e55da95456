package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// beliefEvents are the lines that say what a node holds for true; the last of each kind
// before a request's end goes with its story.
var beliefEvents = map[string]bool{
	"node_started": true, "config_in_force": true, "entries_changed": true, "view_changed": true,
	"dependency_lost": true, "dependency_back": true, "node_stopping": true, "settings_reloaded": true,
	"request_set_aside": true, "evacuation_in_force": true, "evacuation_ended": true, "evacuation_lapsed": true,
	"store_era_changed": true, "store_era_untold": true, "config_outdated": true, "reading_not_taken": true,
}

// subject is what a line's belief is about: a later line on the same subject replaces it. Each data
// centre is evacuated and taken back by itself.
func (l logLine) subject() string {
	switch l.Event {
	case "evacuation_in_force", "evacuation_ended", "evacuation_lapsed":
		return fmt.Sprint("evacuation of ", l.fields["data_centre"])
	case "request_set_aside":
		return fmt.Sprint("request ", l.fields["key"])
	default:
		return l.Event
	}
}

func explainCommand() *command {
	parser := flaggy.NewSubcommand("explain")
	parser.Description = "tell one request's story from the nodes' logs"
	var request, files string
	parser.AddPositionalValue(&request, "request", 1, true, "the request's id")
	parser.AddPositionalValue(&files, "files", 2, false, "log files, joined by commas (default: standard input)")
	return &command{
		parser:  parser,
		example: "pistachiopier explain 9c41d07be2a35f68 vm-1.log,vm-2.log",
		run:     func(out io.Writer) error { return explain(request, files, os.Stdin, out) },
	}
}

// logLine is one decoded line.
type logLine struct {
	Time  string `json:"time"`
	Node  string `json:"node"`
	Event string `json:"event"`
	// Request is empty on lines that are not about one request.
	Request string `json:"request"`
	fields  map[string]any
}

// story is what logs say of one request.
type story struct {
	lines []logLine
	// beliefs are the last lines of each kind and node, in the order of the logs.
	beliefs []logLine
}

func explain(request, files string, input io.Reader, out io.Writer) error {
	var found story
	if files == "" {
		if err := found.read(request, input); err != nil {
			return err
		}
	}
	for _, path := range strings.FieldsFunc(files, func(r rune) bool { return r == ',' }) {
		file, err := os.Open(path)
		if err != nil {
			return &fault.Error{Code: fault.CodeBadRequest, Message: "cannot read " + path, Fix: "give readable log files", Cause: err}
		}
		err = found.read(request, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	if len(found.lines) == 0 {
		fmt.Fprintf(out, "no line on request %s: it ended well and in time, or its node's lines are missing\n", request)
		return errTrouble
	}
	found.print(request, out)
	return nil
}

// read collects the lines of one log. Text before a line's JSON, such as a collector's
// own time, is passed over, and so are lines of other programs.
func (s *story) read(request string, input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, maxLogLine/16), maxLogLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 {
			continue
		}
		var line logLine
		text := []byte(scanner.Text()[start:])
		if json.Unmarshal(text, &line) != nil || json.Unmarshal(text, &line.fields) != nil {
			continue
		}
		switch {
		case line.Request == request:
			s.lines = append(s.lines, line)
		case line.Request == "" && beliefEvents[line.Event]:
			s.beliefs = append(s.beliefs, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &fault.Error{Code: fault.CodeBadRequest, Message: "a log cannot be read to its end", Fix: "give the lines as the node wrote them", Cause: err}
	}
	return nil
}

func (s *story) print(request string, out io.Writer) {
	byTime := func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) }
	slices.SortStableFunc(s.lines, byTime)
	slices.SortStableFunc(s.beliefs, byTime)
	end := s.lines[len(s.lines)-1]
	fmt.Fprintf(out, "request %s\n\nwhat the node believed before:\n", request)
	for _, line := range s.inForce(end) {
		fmt.Fprintf(out, "  %s %s\n", line.Time, describeLine(line))
	}
	fmt.Fprintln(out, "\nwhat happened (at_ms counts from the request's arrival):")
	for _, line := range s.lines {
		fmt.Fprintf(out, "  %s %s\n", line.Time, describeLine(line))
	}
}

// inForce picks the last belief on each subject that the request's node wrote before its end.
func (s *story) inForce(end logLine) []logLine {
	last := map[string]logLine{}
	for _, line := range s.beliefs {
		if line.Node == end.Node && line.Time <= end.Time {
			last[line.subject()] = line
		}
	}
	chosen := slices.Collect(maps.Values(last))
	slices.SortFunc(chosen, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return chosen
}

// describeLine writes a line's fields in a fixed order, leaving out empty ones.
func describeLine(line logLine) string {
	hidden := map[string]bool{"time": true, "level": true, "msg": true, "event": true, "node": true, "request": true}
	var b strings.Builder
	b.WriteString(line.Node + " " + line.Event)
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		value := fmt.Sprint(line.fields[name])
		if hidden[name] || value == "" || value == "0" && name != "at_ms" {
			continue
		}
		b.WriteString(" " + name + "=" + value)
	}
	return b.String()
}
