package standin

import (
	"encoding/json"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// Behaviour configures a stand-in upstream. It may be changed at any time.
// Shares are fractions of all requests, 0 to 1, drawn from a source seeded by Seed.
type Behaviour struct {
	// Slots limits the requests that run at once; further ones are shed. 0 is no limit.
	Slots int `yaml:"slots"`
	// Service is the service time of a request.
	Service time.Duration `yaml:"service"`
	// DrawService, when set, returns the service time of each request in place of
	// Service. It can't be written as YAML or JSON and must not block.
	DrawService func() time.Duration `yaml:"-"`
	// Hold, when set, delays every admitted request until the channel is closed.
	Hold <-chan struct{} `yaml:"-"`
	// CrashOn, when set, reports whether running the query crashes the replica. It must not block.
	CrashOn func(query string) bool `yaml:"-"`
	// Versions are the index versions that it serves; the last is the newest.
	Versions []uint64 `yaml:"versions"`
	Draining bool     `yaml:"draining"`
	// Silent makes it accept requests and never reply.
	Silent bool `yaml:"silent"`

	// Connections limits the open connections; 0 is no limit. A connection above
	// the limit is accepted and closed, or with RefuseConnections not accepted.
	Connections       int  `yaml:"connections"`
	RefuseConnections bool `yaml:"refuse_connections"`
	// ConnectCost delays the first request of each new connection.
	ConnectCost time.Duration `yaml:"connect_cost"`
	// ColdStart is the time after the start, or after a change of this value, in
	// which each request takes ColdExtra longer.
	ColdStart time.Duration `yaml:"cold_start"`
	ColdExtra time.Duration `yaml:"cold_extra"`

	// ShedShare of requests are refused as overloaded, with RetryAfter.
	ShedShare  float64       `yaml:"shed_share"`
	RetryAfter time.Duration `yaml:"retry_after"`
	// HonourDeadline refuses requests whose service time exceeds the remaining time.
	HonourDeadline bool `yaml:"honour_deadline"`
	// IgnoreCancel runs requests to their end although the caller has disconnected.
	IgnoreCancel bool `yaml:"ignore_cancel"`

	// StragglerShare of requests take StragglerExtra longer.
	StragglerShare float64       `yaml:"straggler_share"`
	StragglerExtra time.Duration `yaml:"straggler_extra"`
	// FailShare of requests end with status 500 after they ran.
	FailShare float64 `yaml:"fail_share"`
	// CrossedShare of replies carry another request's id, CutShare are truncated,
	// NeverShare are not sent, and LateShare are sent LateBy later, whether the
	// caller still waits or not.
	CrossedShare float64       `yaml:"crossed_share"`
	CutShare     float64       `yaml:"cut_share"`
	NeverShare   float64       `yaml:"never_share"`
	LateShare    float64       `yaml:"late_share"`
	LateBy       time.Duration `yaml:"late_by"`
	Seed         uint64        `yaml:"seed"`

	// Shards lists the shards served, as SERVICE/SHARD; empty is all. Removing one
	// simulates a repartition: requests for it get status 404.
	Shards []string `yaml:"shards"`

	// Load sets the load header and the value of the load endpoint: empty for no
	// header, LoadTrue for the share of slots in use, or a fixed number.
	Load string `yaml:"load"`
	// Health overrides the state that the health endpoint reports; empty reports
	// the actual state. ReportLag is the maximum age of the values that the health
	// and load endpoints report.
	Health    string        `yaml:"health"`
	ReportLag time.Duration `yaml:"report_lag"`
}

// LoadTrue makes an upstream report its actual load.
const LoadTrue = "true"

// ParseBehaviour decodes YAML or JSON into a copy of the given behaviour; absent
// keys keep their value. Its error is a strictyaml.Problems.
func ParseBehaviour(text []byte, over Behaviour) (Behaviour, error) {
	over = over.clone()
	doc, err := strictyaml.Decode(text, &over)
	if err != nil {
		return over, err
	}
	if len(over.Versions) == 0 {
		doc.Report("versions", "an upstream needs an index version", "write versions: [1]")
	}
	return over, doc.Err()
}

// MarshalJSON writes the form that ParseBehaviour reads.
func (b Behaviour) MarshalJSON() ([]byte, error) { return yamlAsJSON(b) }

func (b Behaviour) clone() Behaviour {
	b.Versions = slices.Clone(b.Versions)
	b.Shards = slices.Clone(b.Shards)
	return b
}

// yamlAsJSON encodes a value as JSON with durations as strings such as 5ms;
// encoding/json alone would write them in nanoseconds.
func yamlAsJSON(value any) ([]byte, error) {
	text, err := yaml.Marshal(value)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := yaml.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
