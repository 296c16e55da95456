package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// endEvents are the events that report the end of a replica, or what it changed for the requests in flight there.
var endEvents = map[string]bool{"replica_ended": true, "request_suspected": true, "request_set_aside": true, "request_cleared": true}

// printEnds prints when which node learned that replicas ended under any attempt of the request.
func (h *requestHistory) printEnds(request string, out io.Writer) {
	keys := h.keysOf(request)
	var lines []logLine
	for _, line := range h.ends {
		if attempts := line.attemptsWith(keys); attempts != "" {
			lines = append(lines, line.withAttempts(attempts))
		}
	}
	if len(lines) == 0 {
		return
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time, b.Time) })
	fmt.Fprintln(out, "\nwhat the nodes learned of replicas that ended under any attempt of it:")
	for _, line := range lines {
		fmt.Fprintf(out, "  %s %s\n", line.Time, describeLine(line))
	}
}

// keysOf returns the keys of a request, which all its attempts share.
func (h *requestHistory) keysOf(request string) map[string]bool {
	keys := map[string]bool{}
	for _, line := range h.requestLines {
		if key, ok := line.fields["key"].(string); ok {
			keys[key] = true
		}
	}
	for _, line := range h.ends {
		for id, key := range line.endedRequests() {
			if id == request {
				keys[key] = true
			}
		}
	}
	return keys
}

// endedRequests returns the keys of the requests that a replica_ended line names, by their ids.
func (l logLine) endedRequests() map[string]string {
	byID := map[string]string{}
	requests, _ := l.fields["requests"].([]any)
	for _, entry := range requests {
		if named, ok := entry.(map[string]any); ok {
			byID[fmt.Sprint(named["id"])] = fmt.Sprint(named["key"])
		}
	}
	return byID
}

// attemptsWith returns the ids of the attempts with one of the keys that the line names, or the key of a line that names
// none. It is empty if the line concerns other requests.
func (l logLine) attemptsWith(keys map[string]bool) string {
	if key, ok := l.fields["key"].(string); ok && keys[key] {
		return cmp.Or(l.Request, key)
	}
	var ids []string
	for id, key := range l.endedRequests() {
		if keys[key] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}

// withAttempts returns the line with the ids of attempts in place of the requests that it names.
func (l logLine) withAttempts(attempts string) logLine {
	fields := map[string]any{}
	for name, value := range l.fields {
		if name != "requests" {
			fields[name] = value
		}
	}
	if l.Event == "replica_ended" {
		fields["attempts"] = attempts
	}
	l.fields = fields
	return l
}
