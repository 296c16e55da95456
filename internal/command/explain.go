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

// maxLogLineBytes is the longest log line that is read.
const maxLogLineBytes = 1 << 20

// stateEvents are the events that report the state of a node. The last one for each
// state key before the end of a request is shown with the request.
var stateEvents = map[string]bool{
	"node_started": true, "config_in_force": true, "entries_changed": true, "role_changed": true, "node_resumed": true, "view_changed": true,
	"dependency_lost": true, "dependency_back": true, "node_stopping": true, "settings_reloaded": true,
	"request_set_aside": true, "evacuation_in_force": true, "evacuation_ended": true, "evacuation_lapsed": true,
	"replica_believed": true, "relief_asked": true, "relief_ended": true, "store_era_changed": true, "store_era_untold": true, "config_outdated": true, "reading_not_taken": true,
}

// stateKey identifies the state that a line reports: a later line with the same key replaces it. Each
// data centre has its own key, since data centres are evacuated and taken back independently.
func (l logLine) stateKey() string {
	switch l.Event {
	case "evacuation_in_force", "evacuation_ended", "evacuation_lapsed":
		return fmt.Sprint("evacuation of ", l.fields["data_centre"])
	case "replica_believed":
		return fmt.Sprint("replica ", l.fields["replica"])
	case "relief_asked", "relief_ended":
		return "relief"
	case "request_set_aside":
		return fmt.Sprint("request ", l.fields["key"])
	default:
		return l.Event
	}
}

func explainCommand() *command {
	parser := flaggy.NewSubcommand("explain")
	parser.Description = "show the history of one request from the logs of the nodes"
	var request, files string
	parser.AddPositionalValue(&request, "request", 1, true, "the id of the request")
	parser.AddPositionalValue(&files, "files", 2, false, "log files, separated by commas (default: standard input)")
	return &command{
		parser:  parser,
		example: "pistachiopier explain 9c41d07be2a35f68 vm-1.log,vm-2.log",
		run:     func(out io.Writer) error { return explain(request, files, os.Stdin, out) },
	}
}

// logLine is one decoded line of a log.
type logLine struct {
	Time  string `json:"time"`
	Node  string `json:"node"`
	Event string `json:"event"`
	// Request is empty on lines that do not concern a single request.
	Request string `json:"request"`
	fields  map[string]any
}

// requestHistory holds the log lines about one request and the state of the nodes.
type requestHistory struct {
	requestLines []logLine
	// states are the lines with an event of stateEvents, in the order of the logs.
	states []logLine
	// ends are the lines on replicas that ended and on the requests in flight there, in the order of the logs.
	ends []logLine
}

func explain(request, files string, input io.Reader, out io.Writer) error {
	var history requestHistory
	if files == "" {
		if err := history.read(request, input); err != nil {
			return err
		}
	}
	for _, path := range strings.FieldsFunc(files, func(r rune) bool { return r == ',' }) {
		file, err := os.Open(path)
		if err != nil {
			return &fault.Error{Code: fault.CodeBadRequest, Message: "cannot read " + path, Fix: "give readable log files", Cause: err}
		}
		err = history.read(request, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	if len(history.requestLines) == 0 {
		fmt.Fprintf(out, "no line on request %s: it succeeded in time, or the log of its node is missing\n", request)
		return errReported
	}
	history.print(request, out)
	return nil
}

// read collects the lines of one log. It skips text before the JSON of a line, such as a
// timestamp of the log collector, and lines of other programs.
func (h *requestHistory) read(request string, input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, maxLogLineBytes/16), maxLogLineBytes)
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
		if endEvents[line.Event] {
			h.ends = append(h.ends, line)
		}
		switch {
		case line.Request == request:
			h.requestLines = append(h.requestLines, line)
		case line.Request == "" && stateEvents[line.Event]:
			h.states = append(h.states, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &fault.Error{Code: fault.CodeBadRequest, Message: "cannot read a log to its end", Fix: "give the lines as the node wrote them", Cause: err}
	}
	return nil
}

func (h *requestHistory) print(request string, out io.Writer) {
	byTime := func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) }
	slices.SortStableFunc(h.requestLines, byTime)
	slices.SortStableFunc(h.states, byTime)
	end := h.requestLines[len(h.requestLines)-1]
	fmt.Fprintf(out, "request %s\n\nwhat the node believed before:\n", request)
	for _, line := range h.statesBefore(end) {
		fmt.Fprintf(out, "  %s %s\n", line.Time, describeLine(line))
	}
	printShortages(h.requestLines, out)
	h.printEnds(request, out)
	fmt.Fprintln(out, "\nwhat happened (at_ms counts from the request's arrival):")
	for _, line := range h.requestLines {
		fmt.Fprintf(out, "  %s %s\n", line.Time, describeLine(line))
	}
}

// shortage sums up the sends to one service that got no place.
type shortage struct {
	service, short string
	sends          int
	mostAhead      float64
}

// printShortages prints which rooms were short for a request, the services with the most sends first.
func printShortages(lines []logLine, out io.Writer) {
	byService := map[string]*shortage{}
	for _, line := range lines {
		if line.Event != "no_place" {
			continue
		}
		service := fmt.Sprint(line.fields["service"])
		found := byService[service]
		if found == nil {
			found = &shortage{service: service, short: fmt.Sprint(line.fields["short"])}
			byService[service] = found
		}
		found.sends++
		if ahead, ok := line.fields["ahead"].(float64); ok {
			found.mostAhead = max(found.mostAhead, ahead)
		}
	}
	if len(byService) == 0 {
		return
	}
	fmt.Fprintln(out, "\nwhat was short (ahead counts the sends that went first, 0 where the replica refuses requests):")
	for _, s := range slices.SortedFunc(maps.Values(byService), func(a, b *shortage) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.service, b.service))
	}) {
		fmt.Fprintf(out, "  %s of %s: %d sends without a place, %g ahead at most\n", s.short, s.service, s.sends, s.mostAhead)
	}
}

// statesBefore returns, for each state key, the last line that the node of the request wrote before
// the end of the request.
func (h *requestHistory) statesBefore(end logLine) []logLine {
	last := map[string]logLine{}
	for _, line := range h.states {
		if line.Node == end.Node && line.Time <= end.Time {
			last[line.stateKey()] = line
		}
	}
	lines := slices.Collect(maps.Values(last))
	slices.SortFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	return lines
}

// describeLine formats the fields of a line in a fixed order and omits empty ones.
func describeLine(line logLine) string {
	hidden := map[string]bool{"time": true, "level": true, "msg": true, "event": true, "node": true, "request": true}
	var b strings.Builder
	b.WriteString(line.Node + " " + line.Event)
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		value := fmt.Sprint(line.fields[name])
		if hidden[name] || value == "" || value == "0" && name != "at_ms" && name != "priority" {
			continue
		}
		b.WriteString(" " + name + "=" + value)
	}
	return b.String()
}
