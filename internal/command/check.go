package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// checkReport is the JSON output of check.
type checkReport struct {
	File      string              `json:"file"`
	Valid     bool                `json:"valid"`
	Problems  strictyaml.Problems `json:"problems,omitempty"`
	Services  int                 `json:"services"`
	Bundles   int                 `json:"bundles"`
	Customers int                 `json:"customers"`
	Explained *explanation        `json:"explained,omitempty"`
}

// explanation is a service's closure, with the shards and replicas that a query to it needs.
type explanation struct {
	Service  string             `json:"service"`
	Shards   int                `json:"shards"`
	Replicas int                `json:"replicas"`
	Closure  []explainedService `json:"closure"`
}

type explainedService struct {
	Name        string                     `json:"name"`
	Index       string                     `json:"index"`
	Slots       int                        `json:"slots"`
	Connections int                        `json:"connections"`
	Replicas    []catalog.ReplicaPlacement `json:"replicas"`

	source *catalog.Service
}

func checkCommand() *command {
	parser := flaggy.NewSubcommand("check")
	parser.Description = "validate an operators' configuration text"
	var path, explain string
	var asJSON bool
	parser.AddPositionalValue(&path, "file", 1, true, "the file to validate")
	parser.String(&explain, "e", "explain", "print the closure of this service: itself and all services that it depends on")
	parser.Bool(&asJSON, "j", "json", "print the report as JSON")
	return &command{
		parser:  parser,
		example: "pistachiopier check examples/magnolia.yaml --explain plate-costing",
		run:     func(out io.Writer) error { return check(path, explain, asJSON, out) },
	}
}

func check(path, explain string, asJSON bool, out io.Writer) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	parsed, err := catalog.Parse(text)
	if err != nil {
		return reportInvalid(path, err, asJSON, out)
	}
	report := checkReport{File: path, Valid: true, Services: len(parsed.ServiceNames), Bundles: len(parsed.Bundles), Customers: len(parsed.Customers)}
	if explain != "" {
		report.Explained, err = explainService(parsed, explain)
		if err != nil {
			return err
		}
	}
	if asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	fmt.Fprintf(out, "%s is valid: %d services, %d bundles, %d customers\n", path, report.Services, report.Bundles, report.Customers)
	if report.Explained != nil {
		printExplanation(report.Explained, out)
	}
	return nil
}

// reportInvalid reports an invalid text as JSON on out or, without asJSON, as the returned error.
func reportInvalid(path string, err error, asJSON bool, out io.Writer) error {
	var problems strictyaml.Problems
	if !asJSON || !errors.As(err, &problems) {
		return err
	}
	if err := json.NewEncoder(out).Encode(checkReport{File: path, Problems: problems}); err != nil {
		return err
	}
	return errReported
}

func explainService(parsed *catalog.Catalog, name string) (*explanation, error) {
	closure := parsed.Closure(name)
	if len(closure) == 0 {
		return nil, fault.NotRun(fault.CodeUnknownService, "service "+name+" is not in the text", "give a service that the text names")
	}
	explained := &explanation{Service: name}
	for _, service := range closure {
		entry := explainedService{Name: service.Name, Index: service.Index, Slots: service.Slots, Connections: service.Connections, source: service}
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				entry.Replicas = append(entry.Replicas, catalog.ReplicaPlacement{Shard: shard.Ref.String(), Address: replica.Address, DataCentre: replica.DataCentre})
			}
		}
		explained.Shards += len(service.Shards)
		explained.Replicas += len(entry.Replicas)
		explained.Closure = append(explained.Closure, entry)
	}
	return explained, nil
}

func printExplanation(explained *explanation, out io.Writer) {
	for _, service := range explained.Closure {
		fmt.Fprintf(out, "%-28s index %s, %d slots, %d connections\n", service.Name, service.Index, service.Slots, service.Connections)
		for _, shard := range service.source.Shards {
			for _, replica := range shard.Replicas {
				fmt.Fprintf(out, "  shard %d  %-22s %s\n", shard.Ref.Shard, replica.Address, replica.DataCentre)
			}
		}
	}
	fmt.Fprintf(out, "a query to %s needs %d shards of %d services, on %d replicas\n", explained.Service, explained.Shards, len(explained.Closure), explained.Replicas)
}
