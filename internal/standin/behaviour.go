package standin

import (
	"encoding/json"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// Behaviour is how a stand-in upstream acts. It may be changed at any time.
// Shares are parts of all requests, 0 to 1, drawn from a source seeded by Seed.
type Behaviour struct {
	// Slots is how many requests run at once; more are shed. 0 is no limit.
	Slots int `yaml:"slots"`
	// Service is the time one request takes.
	Service time.Duration `yaml:"service"`
	// DrawService, when set, gives each request's time in place of Service. It can't be
	// written as YAML or JSON and must not block.
	DrawService func() time.Duration `yaml:"-"`
	// Hold, when set, keeps each request that has begun until it is closed.
	Hold <-chan struct{} `yaml:"-"`
	// CrashOn, when set, tells the questions that end the replica once it has begun to run them. It must not block.
	CrashOn func(question string) bool `yaml:"-"`
	// Versions are the index versions it has; the last is the newest.
	Versions []uint64 `yaml:"versions"`
	Draining bool     `yaml:"draining"`
	// Silent makes it take requests and never answer.
	Silent bool `yaml:"silent"`

	// Connections is how many connections may be open; 0 is no limit. A further
	// one is accepted and closed, or with RefuseConnections not accepted.
	Connections       int  `yaml:"connections"`
	RefuseConnections bool `yaml:"refuse_connections"`
	// ConnectCost delays the first request of each new connection.
	ConnectCost time.Duration `yaml:"connect_cost"`
	// ColdStart is how long after its start, or after this value was changed, a
	// request takes ColdExtra more.
	ColdStart time.Duration `yaml:"cold_start"`
	ColdExtra time.Duration `yaml:"cold_extra"`

	// ShedShare of requests are refused as overloaded, with RetryAfter.
	ShedShare  float64       `yaml:"shed_share"`
	RetryAfter time.Duration `yaml:"retry_after"`
	// HonourDeadline refuses what the time left does not suffice for.
	HonourDeadline bool `yaml:"honour_deadline"`
	// IgnoreCancel works on although the caller has gone.
	IgnoreCancel bool `yaml:"ignore_cancel"`

	// StragglerShare of requests take StragglerExtra more.
	StragglerShare float64       `yaml:"straggler_share"`
	StragglerExtra time.Duration `yaml:"straggler_extra"`
	// FailShare of requests end with status 500 after they ran.
	FailShare float64 `yaml:"fail_share"`
	// CrossedShare of replies carry another request's id, CutShare end short of
	// their length, NeverShare do not come and LateShare come LateBy later,
	// whether the caller waits or not.
	CrossedShare float64       `yaml:"crossed_share"`
	CutShare     float64       `yaml:"cut_share"`
	NeverShare   float64       `yaml:"never_share"`
	LateShare    float64       `yaml:"late_share"`
	LateBy       time.Duration `yaml:"late_by"`
	Seed         uint64        `yaml:"seed"`

	// Shards lists the shards served, as SERVICE/SHARD; empty is all. Taking one
	// away is a repartition: requests for it get status 404.
	Shards []string `yaml:"shards"`

	// Load is what the load header and the load endpoint say: empty for no
	// header, LoadTrue for the share of slots in use, or a fixed number.
	Load string `yaml:"load"`
	// Health is what the health endpoint says whatever the truth; empty is the
	// truth. ReportLag is how old its and the load endpoint's figures may be.
	Health    string        `yaml:"health"`
	ReportLag time.Duration `yaml:"report_lag"`
}

// LoadTrue makes an upstream tell its true load.
const LoadTrue = "true"

// ParseBehaviour reads a behaviour from YAML or JSON over the given one: keys
// that are not written keep their value. Its error is a strictyaml.Problems.
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

// MarshalJSON writes the keys and values that ParseBehaviour reads.
func (b Behaviour) MarshalJSON() ([]byte, error) { return yamlAsJSON(b) }

func (b Behaviour) clone() Behaviour {
	b.Versions = slices.Clone(b.Versions)
	b.Shards = slices.Clone(b.Shards)
	return b
}

// yamlAsJSON writes durations as texts such as 5ms, which plain JSON would
// write as a count of nanoseconds.
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
