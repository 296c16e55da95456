// Package settings reads one process's YAML settings.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// Defaults of the settings.
const (
	DefaultEntriesTTL  = 10 * time.Second
	DefaultMaxBody     = 1 << 20
	DefaultHeaderWait  = 5 * time.Second
	DefaultStopWait    = 30 * time.Second
	DefaultConnections = 4096
	DefaultLogLevel    = "info"
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
	Platform string `yaml:"platform"`
	LogLevel string `yaml:"log_level"`
	TLS      TLS    `yaml:"tls"`
	Limits   Limits `yaml:"limits"`
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
}

// Limits bound what callers may take.
type Limits struct {
	MaxBodyBytes  int           `yaml:"max_body_bytes"`
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	Connections   int           `yaml:"connections"`
}

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
	setDefault(&s.Limits.Connections, DefaultConnections)
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
	if s.EntriesTTL < 0 {
		doc.Report("entries_ttl", "the duration is negative", "write a duration above 0")
	}
	if s.StopWait < 0 {
		doc.Report("stop_wait", "the duration is negative", "write a duration above 0")
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
