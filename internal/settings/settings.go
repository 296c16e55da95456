// Package settings reads and validates the YAML settings of a node.
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
	DefaultEntriesTTL   = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxHeaderBytes is far beyond what callers of this interface send.
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultBodyTimeout       = 10 * time.Second
	DefaultIdleTimeout       = time.Minute
	DefaultStopWait          = 30 * time.Second
	DefaultConnections       = 4096
	DefaultEntries           = 16
	DefaultLogLevel          = "info"
	DefaultWarnBefore        = 14 * 24 * time.Hour
	DefaultReportWithin      = time.Minute
	DefaultMaxProbesInFlight = 16
)

// Settings are the settings of one node. docs/SETTINGS.md lists them with their
// defaults and units.
type Settings struct {
	Node            string `yaml:"node"`
	DataCentre      string `yaml:"data_centre"`
	CallerAddress   string `yaml:"caller_address"`
	PeerAddress     string `yaml:"peer_address"`
	OperatorAddress string `yaml:"operator_address"`
	// Platform is the base URL of the configuration service and the VM list.
	Platform string  `yaml:"platform"`
	LogLevel string  `yaml:"log_level"`
	TLS      TLS     `yaml:"tls"`
	Limits   Limits  `yaml:"limits"`
	Probing  Probing `yaml:"probing"`
	Once     Once    `yaml:"once"`
	// EntriesTTL is how long callers may cache the list of entry addresses.
	EntriesTTL time.Duration `yaml:"entries_ttl"`
	// StopWait is the maximum duration of a planned stop.
	StopWait time.Duration `yaml:"stop_wait"`
}

// TLS holds the paths of the node's PEM files, or the PEM texts themselves.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// WarnBefore is how long before its expiry a certificate is reported as a problem.
	WarnBefore time.Duration `yaml:"warn_before"`
}

// Limits bound the resources that callers may use.
type Limits struct {
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request's head. The parser holds many times the bytes of short lines.
	MaxHeaderBytes int           `yaml:"max_header_bytes"`
	HeaderTimeout  time.Duration `yaml:"header_timeout"`
	BodyTimeout    time.Duration `yaml:"body_timeout"`
	IdleTimeout    time.Duration `yaml:"idle_timeout"`
	Connections    int           `yaml:"connections"`
	// Entries is the maximum number of entry addresses returned to a caller.
	Entries int `yaml:"entries"`
	// InFlight is the maximum number of callers' requests in flight at this entry.
	InFlight int `yaml:"in_flight"`
	// Headroom is the maximum ratio of one customer's requests in flight to the free
	// slots.
	Headroom int `yaml:"headroom"`
}

// Probing sets how idle replicas are probed.
type Probing struct {
	// ReportWithin is the time within which a dead idle replica is reported.
	ReportWithin time.Duration `yaml:"report_within"`
	// InFlight is the maximum number of probes in flight.
	InFlight int `yaml:"in_flight"`
}

// Once bounds this node's records of non-idempotent requests, which must not be
// repeated.
type Once struct {
	// Accept is how long after its issue a key prefix may start new requests.
	Accept time.Duration `yaml:"accept"`
	// Retain is how long after the issue of its key prefix an outcome is kept.
	Retain time.Duration `yaml:"retain"`
	// MaxRun is the maximum duration of a request.
	MaxRun  time.Duration `yaml:"max_run"`
	Entries int           `yaml:"entries"`
	Bytes   int           `yaml:"bytes"`
}

// Limits returns the limits of the node's ledger. One customer may use half of its
// entries and bytes.
func (o Once) Limits() once.Limits {
	limits := once.DefaultLimits()
	limits.AcceptAge, limits.RetainAge, limits.MaxRunTime = o.Accept, o.Retain, o.MaxRun
	limits.MaxEntries, limits.MaxBytes = o.Entries, o.Bytes
	limits.MaxCustomerEntries, limits.MaxCustomerBytes = o.Entries/customerShareDivisor, o.Bytes/customerShareDivisor
	return limits
}

const customerShareDivisor = 2

// Parse parses and validates settings and applies the defaults. The error is a
// strictyaml.Problems.
func Parse(text []byte) (*Settings, error) {
	var s Settings
	doc, err := strictyaml.Decode(text, &s)
	if err != nil {
		return nil, err
	}
	ApplyDefaults(&s)
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
		return nil, &fault.Error{Code: fault.CodeSettingsInvalid, Message: "cannot read the settings file", Fix: "pass the path of a readable file", Cause: err}
	}
	return Parse(text)
}

// ApplyDefaults sets each setting that is zero to its default.
func ApplyDefaults(s *Settings) {
	setDefault(&s.EntriesTTL, DefaultEntriesTTL)
	setDefault(&s.StopWait, DefaultStopWait)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.Limits.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&s.Limits.BodyTimeout, DefaultBodyTimeout)
	setDefault(&s.Limits.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.Entries, DefaultEntries)
	setDefault(&s.Limits.InFlight, entrylimit.DefaultMaxInFlight)
	setDefault(&s.Limits.Headroom, entrylimit.DefaultHeadroom)
	setDefault(&s.TLS.WarnBefore, DefaultWarnBefore)
	setDefault(&s.Probing.ReportWithin, DefaultReportWithin)
	setDefault(&s.Probing.InFlight, DefaultMaxProbesInFlight)
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
	for _, setting := range required {
		if setting.value == "" {
			doc.Report(setting.key, "the key is required", "write "+setting.key)
		}
	}
	addresses := []struct{ key, value string }{
		{"caller_address", s.CallerAddress},
		{"peer_address", s.PeerAddress},
		{"operator_address", s.OperatorAddress},
	}
	for _, setting := range addresses {
		if _, _, err := net.SplitHostPort(setting.value); err != nil {
			doc.Report(setting.key, fmt.Sprintf("%q is not IP:PORT", setting.value), "write an address such as 10.0.0.1:7001")
		}
	}
	s.validateLimits(doc)
}

// validateLimits rejects negative durations and counts. Zero values have already
// been replaced by the defaults.
func (s *Settings) validateLimits(doc *strictyaml.Document) {
	const duration, count = "write a duration above 0", "write a number above 0"
	checkNotNegative(doc, "entries_ttl", s.EntriesTTL, duration)
	checkNotNegative(doc, "stop_wait", s.StopWait, duration)
	checkNotNegative(doc, "tls.warn_before", s.TLS.WarnBefore, duration)
	checkNotNegative(doc, "limits.header_timeout", s.Limits.HeaderTimeout, duration)
	checkNotNegative(doc, "limits.body_timeout", s.Limits.BodyTimeout, duration)
	checkNotNegative(doc, "limits.idle_timeout", s.Limits.IdleTimeout, duration)
	checkNotNegative(doc, "limits.max_body_bytes", s.Limits.MaxBodyBytes, count)
	checkNotNegative(doc, "limits.max_header_bytes", s.Limits.MaxHeaderBytes, count)
	checkNotNegative(doc, "limits.connections", s.Limits.Connections, count)
	checkNotNegative(doc, "limits.entries", s.Limits.Entries, count)
	checkNotNegative(doc, "limits.in_flight", s.Limits.InFlight, count)
	checkNotNegative(doc, "limits.headroom", s.Limits.Headroom, count)
	checkNotNegative(doc, "probing.report_within", s.Probing.ReportWithin, duration)
	checkNotNegative(doc, "probing.in_flight", s.Probing.InFlight, count)
	checkNotNegative(doc, "once.accept", s.Once.Accept, duration)
	checkNotNegative(doc, "once.retain", s.Once.Retain, duration)
	checkNotNegative(doc, "once.max_run", s.Once.MaxRun, duration)
	checkNotNegative(doc, "once.entries", s.Once.Entries, count)
	checkNotNegative(doc, "once.bytes", s.Once.Bytes, count)
	s.validateOnceRetain(doc)
}

// validateOnceRetain prevents a second run of a request. A key of an age between
// once.accept and once.retain that has no record has provably never run. With a
// shorter once.retain, a late retry could be taken for a new request.
func (s *Settings) validateOnceRetain(doc *strictyaml.Document) {
	limits := s.Once.Limits()
	if limits.RetainAge <= limits.AcceptAge+limits.MaxRunTime+limits.ReplyGrace {
		doc.Report("once.retain", limits.RetainAge.String()+" is too short for once.accept and once.max_run", "write more than their sum plus "+limits.ReplyGrace.String())
	}
}

func checkNotNegative[T int | time.Duration](doc *strictyaml.Document, key string, value T, fix string) {
	if value < 0 {
		doc.Report(key, fmt.Sprintf("%v is negative", value), fix)
	}
}

// LoadPEM returns value itself if it is a PEM text, or else reads the file that it
// names.
func LoadPEM(value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	text, err := os.ReadFile(value)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeTLS, Message: "cannot read the PEM file " + value, Fix: "create it with pistachiopier keys", Cause: err}
	}
	return text, nil
}
