package settings

import (
	"fmt"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
)

// Entry describes one setting. Default is "required" when there is none.
type Entry struct {
	Key     string `json:"key"`
	Default string `json:"default"`
	Unit    string `json:"unit"`
	About   string `json:"about"`
	// Metric shows the limit at work, or is empty.
	Metric string `json:"metric,omitempty"`
}

const required = "required"

// Reference lists every setting. docs/SETTINGS.md is written from it.
func Reference() []Entry {
	limits := once.DefaultLimits()
	return []Entry{
		{"node", required, "name", "this node's id, as the VM list and its certificate name it", ""},
		{"data_centre", required, "name", "the data centre that this VM is in", ""},
		{"caller_address", required, "IP:PORT, TCP", "where callers ask; port 0 takes a free one", ""},
		{"peer_address", required, "IP:PORT, UDP", "where other nodes reach this one", ""},
		{"operator_address", required, "IP:PORT, TCP", "where operators look", ""},
		{"platform", required, "URL", "the base URL of the configuration service and the VM list", ""},
		{"log_level", DefaultLogLevel, "error, warn, info or debug", "debug adds a line for each request and fx's own events", ""},
		{"entries_ttl", DefaultEntriesTTL.String(), "duration", "how long callers may keep the address answer", ""},
		{"stop_wait", DefaultStopWait.String(), "duration", "the longest that a planned stop takes", ""},
		{"tls.authority", required, "PEM file or text", "the certificate of the authority that signs all nodes", ""},
		{"tls.certificate", required, "PEM file or text", "this node's certificate", "certificate_days_left"},
		{"tls.key", required, "PEM file or text", "this node's private key", ""},
		{"tls.warn_before", DefaultWarnBefore.String(), "duration", "how long before its end a certificate is reported as a problem", "certificate_days_left"},
		{"limits.max_body_bytes", fmt.Sprint(DefaultMaxBody), "bytes", "the largest body of a caller's request", "caller_bodies_too_large_total"},
		{"limits.header_timeout", DefaultHeaderWait.String(), "duration", "the time for a request's headers to arrive", ""},
		{"limits.body_timeout", DefaultBodyWait.String(), "duration", "the time for a request's body to arrive", "caller_bodies_late_total"},
		{"limits.idle_timeout", DefaultIdleWait.String(), "duration", "how long an idle caller's connection is kept", "caller_connections"},
		{"limits.connections", fmt.Sprint(DefaultConnections), "count", "callers' connections at once; operators have as many of their own", "caller_connections_refused_total"},
		{"limits.entries", fmt.Sprint(DefaultEntries), "count", "the most addresses in the address answer", ""},
		{"limits.in_flight", fmt.Sprint(entrylimit.DefaultMaxInFlight), "count", "queries and submits that this entry has in work at once", "entry_in_flight"},
		{"limits.headroom", fmt.Sprint(entrylimit.DefaultHeadroom), "count", "how many times the free places one customer may hold at this entry", "entry_refused_share_total"},
		{"probing.report_within", DefaultReport.String(), "duration", "a dead replica without traffic is reported within this time", "probes_total"},
		{"probing.in_flight", fmt.Sprint(DefaultProbes), "count", "probes of idle replicas at once", "probes_in_flight"},
		{"once.accept", limits.AcceptAge.String(), "duration", "how long after its issue a key prefix starts new must-not-repeat requests", ""},
		{"once.retain", limits.RetainAge.String(), "duration", "how long after its prefix's issue an outcome is kept; above accept and max_run together", ""},
		{"once.max_run", limits.MaxRunTime.String(), "duration", "the longest that one must-not-repeat request may take", "once_running"},
		{"once.entries", fmt.Sprint(limits.MaxEntries), "count", "must-not-repeat requests remembered; one customer has half of them", "once_entries"},
		{"once.bytes", fmt.Sprint(limits.MaxBytes), "bytes", "memory for them; one customer has half of it", "once_bytes"},
	}
}

// Markdown renders the reference as the page docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nOne YAML file a node, given to `pistachiopier serve --settings FILE`. Unknown keys are\nrefused. This page is written by `pistachiopier settings --markdown`. Metrics carry the\nprefix `pistachiopier_`.\n\n")
	b.WriteString("| key | default | unit | what it sets | metric |\n|---|---|---|---|---|\n")
	for _, e := range Reference() {
		metric := ""
		if e.Metric != "" {
			metric = "`" + e.Metric + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", e.Key, e.Default, e.Unit, e.About, metric)
	}
	b.WriteString("\nAn example, and the certificates for it: [OPERATIONS.md](OPERATIONS.md).\n")
	return b.String()
}
