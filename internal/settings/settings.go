// Package settings reads one process's YAML settings.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/entrylimit"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// Defaults of the settings.
const (
	DefaultEntriesTTL  = 10 * time.Second
	DefaultMaxBody     = 1 << 20
	DefaultHeaderWait  = 5 * time.Second
	DefaultBodyWait    = 10 * time.Second
	DefaultIdleWait    = time.Minute
	DefaultStopWait    = 30 * time.Second
	DefaultConnections = 4096
	DefaultEntries     = 16
	DefaultLogLevel    = "info"
	DefaultWarnBefore  = 14 * 24 * time.Hour
	DefaultReport      = time.Minute
	DefaultProbes      = 16
)

// Settings are one node's settings. docs/SETTINGS.md lists them with defaults
// and units.
type Settings struct {
	Node            string `yaml:"node"`
	DataCentre      string `yaml:"data_centre"`
	CallerAddress   string `yaml:"caller_address"`
	PeerAddress     string `yaml:"peer_address"`
	OperatorAddress string `yaml:"operator_address"`
	// Platform is the base URL of the configuration service and VM list.
	Platform string  `yaml:"platform"`
	LogLevel string  `yaml:"log_level"`
	TLS      TLS     `yaml:"tls"`
	Limits   Limits  `yaml:"limits"`
	Probing  Probing `yaml:"probing"`
	Once     Once    `yaml:"once"`
	// EntriesTTL is how long callers keep the address answer.
	EntriesTTL time.Duration `yaml:"entries_ttl"`
	// StopWait bounds a planned stop.
	StopWait time.Duration `yaml:"stop_wait"`
}

// TLS names the PEM files of the node, or holds the PEM texts themselves.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// WarnBefore is how long before its end a certificate is a problem.
	WarnBefore time.Duration `yaml:"warn_before"`
}

// Limits bound what callers may take.
type Limits struct {
	MaxBodyBytes  int           `yaml:"max_body_bytes"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	BodyTimeout   time.Duration `yaml:"body_timeout"`
	IdleTimeout   time.Duration `yaml:"idle_timeout"`
	Connections   int           `yaml:"connections"`
	// Entries is how many addresses the address answer holds at most.
	Entries int `yaml:"entries"`
	// InFlight is how many callers' requests this entry has in work at once.
	InFlight int `yaml:"in_flight"`
	// Headroom is how many times the free places one customer may hold.
	Headroom int `yaml:"headroom"`
}

// Probing sets how idle replicas are probed.
type Probing struct {
	// ReportWithin is the time within which a dead idle replica is reported.
	ReportWithin time.Duration `yaml:"report_within"`
	// InFlight is how many probes run at once.
	InFlight int `yaml:"in_flight"`
}

// Once bounds what this node remembers of must-not-repeat requests.
type Once struct {
	// Accept is how long after its issue a key prefix starts new requests.
	Accept time.Duration `yaml:"accept"`
	// Retain is how long after its prefix's issue an outcome is kept.
	Retain time.Duration `yaml:"retain"`
	// MaxRun is the longest that one request may take.
	MaxRun  time.Duration `yaml:"max_run"`
	Entries int           `yaml:"entries"`
	Bytes   int           `yaml:"bytes"`
}

// Limits are the bounds of the node's ledger. A customer has half of its places.
func (o Once) Limits() once.Limits {
	limits := once.DefaultLimits()
	limits.AcceptAge, limits.RetainAge, limits.MaxRunTime = o.Accept, o.Retain, o.MaxRun
	limits.MaxEntries, limits.MaxBytes = o.Entries, o.Bytes
	limits.MaxCustomerEntries, limits.MaxCustomerBytes = o.Entries/customerShare, o.Bytes/customerShare
	return limits
}

const customerShare = 2

// Parse reads settings and fills in defaults. The error is a
// strictyaml.Problems.
func Parse(text []byte) (*Settings, error) {
	var s Settings
	doc, err := strictyaml.Decode(text, &s)
	if err != nil {
		return nil, err
	}
	Fill(&s)
	s.validate(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads settings from a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeSettingsInvalid, Message: "cannot read the settings", Fix: "give a readable file", Cause: err}
	}
	return Parse(text)
}

// Fill sets the default of each setting that is not written.
func Fill(s *Settings) {
	setDefault(&s.EntriesTTL, DefaultEntriesTTL)
	setDefault(&s.StopWait, DefaultStopWait)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBody)
	setDefault(&s.Limits.HeaderTimeout, DefaultHeaderWait)
	setDefault(&s.Limits.BodyTimeout, DefaultBodyWait)
	setDefault(&s.Limits.IdleTimeout, DefaultIdleWait)
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.Entries, DefaultEntries)
	setDefault(&s.Limits.InFlight, entrylimit.DefaultMaxInFlight)
	setDefault(&s.Limits.Headroom, entrylimit.DefaultHeadroom)
	setDefault(&s.TLS.WarnBefore, DefaultWarnBefore)
	setDefault(&s.Probing.ReportWithin, DefaultReport)
	setDefault(&s.Probing.InFlight, DefaultProbes)
	limits := once.DefaultLimits()
	setDefault(&s.Once.Accept, limits.AcceptAge)
	setDefault(&s.Once.Retain, limits.RetainAge)
	setDefault(&s.Once.MaxRun, limits.MaxRunTime)
	setDefault(&s.Once.Entries, limits.MaxEntries)
	setDefault(&s.Once.Bytes, limits.MaxBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) validate(doc *strictyaml.Document) {
	required := []struct{ key, value string }{
		{"node", s.Node},
		{"data_centre", s.DataCentre},
		{"platform", s.Platform},
		{"tls.authority", s.TLS.Authority},
		{"tls.certificate", s.TLS.Certificate},
		{"tls.key", s.TLS.Key},
	}
	for _, one := range required {
		if one.value == "" {
			doc.Report(one.key, "the key is required", "write "+one.key)
		}
	}
	addresses := []struct{ key, value string }{
		{"caller_address", s.CallerAddress},
		{"peer_address", s.PeerAddress},
		{"operator_address", s.OperatorAddress},
	}
	for _, one := range addresses {
		if _, _, err := net.SplitHostPort(one.value); err != nil {
			doc.Report(one.key, fmt.Sprintf("%q is not IP:PORT", one.value), "write an address such as 10.0.0.1:7001")
		}
	}
	s.validateLimits(doc)
}

// validateLimits refuses durations and counts below 0; a 0 took its default.
func (s *Settings) validateLimits(doc *strictyaml.Document) {
	const duration, count = "write a duration above 0", "write a number above 0"
	notNegative(doc, "entries_ttl", s.EntriesTTL, duration)
	notNegative(doc, "stop_wait", s.StopWait, duration)
	notNegative(doc, "tls.warn_before", s.TLS.WarnBefore, duration)
	notNegative(doc, "limits.header_timeout", s.Limits.HeaderTimeout, duration)
	notNegative(doc, "limits.body_timeout", s.Limits.BodyTimeout, duration)
	notNegative(doc, "limits.idle_timeout", s.Limits.IdleTimeout, duration)
	notNegative(doc, "limits.max_body_bytes", s.Limits.MaxBodyBytes, count)
	notNegative(doc, "limits.connections", s.Limits.Connections, count)
	notNegative(doc, "limits.entries", s.Limits.Entries, count)
	notNegative(doc, "limits.in_flight", s.Limits.InFlight, count)
	notNegative(doc, "limits.headroom", s.Limits.Headroom, count)
	notNegative(doc, "probing.report_within", s.Probing.ReportWithin, duration)
	notNegative(doc, "probing.in_flight", s.Probing.InFlight, count)
	notNegative(doc, "once.accept", s.Once.Accept, duration)
	notNegative(doc, "once.retain", s.Once.Retain, duration)
	notNegative(doc, "once.max_run", s.Once.MaxRun, duration)
	notNegative(doc, "once.entries", s.Once.Entries, count)
	notNegative(doc, "once.bytes", s.Once.Bytes, count)
	s.validateRetain(doc)
}

// validateRetain guards against a second run. A key that is not remembered
// between the two ages has provably never run; with less to remember by, a late
// retry would be taken for new.
func (s *Settings) validateRetain(doc *strictyaml.Document) {
	limits := s.Once.Limits()
	if limits.RetainAge <= limits.AcceptAge+limits.MaxRunTime+limits.ReplyGrace {
		doc.Report("once.retain", limits.RetainAge.String()+" is too short for once.accept and once.max_run", "write more than their sum and "+limits.ReplyGrace.String())
	}
}

func notNegative[T int | time.Duration](doc *strictyaml.Document, key string, value T, fix string) {
	if value < 0 {
		doc.Report(key, fmt.Sprintf("%v is negative", value), fix)
	}
}

// PEM returns the text itself when it is PEM, or else the file that it names.
func PEM(value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeTLS, Message: "cannot read the PEM file " + value, Fix: "make it with pistachiopier keys", Cause: err}
	}
	return text, nil
}
