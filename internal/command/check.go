package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

func checkCommand() *command {
	parser := flaggy.NewSubcommand("check")
	parser.Description = "validate an operators' text"
	var path, explain string
	parser.AddPositionalValue(&path, "file", 1, true, "the operators' text")
	parser.String(&explain, "e", "explain", "print the closure of this service")
	return &command{
		parser:  parser,
		example: "pistachiopier check examples/magnolia.yaml --explain plate-costing",
		run:     func(out io.Writer) error { return check(path, explain, out) },
	}
}

func check(path, explain string, out io.Writer) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	parsed, err := catalog.Parse(text)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is valid: %d services, %d bundles, %d customers\n", path, len(parsed.Names), len(parsed.Bundles), len(parsed.Customers))
	if explain == "" {
		return nil
	}
	return explainService(parsed, explain, out)
}

func explainService(parsed *catalog.Catalog, name string, out io.Writer) error {
	closure := parsed.Closure(name)
	if len(closure) == 0 {
		return fault.NotRun(fault.CodeUnknownService, "service "+name+" is not in the text", "see the names in the text")
	}
	shards, replicas := 0, 0
	for _, service := range closure {
		fmt.Fprintf(out, "%-28s index %s, %d slots, %d connections\n", service.Name, service.Index, service.Slots, service.Connections)
		for _, shard := range service.Shards {
			shards++
			for _, replica := range shard.Replicas {
				replicas++
				fmt.Fprintf(out, "  shard %d  %-22s %s\n", shard.Ref.Shard, replica.Address, replica.DataCentre)
			}
		}
	}
	fmt.Fprintf(out, "a question to %s asks %d shards of %d services, on %d replicas\n", name, shards, len(closure), replicas)
	return nil
}
