package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

func diffCommand() *command {
	parser := flaggy.NewSubcommand("diff")
	parser.Description = "show the effect of a change to the operators' text"
	var before, after string
	var asJSON bool
	parser.AddPositionalValue(&before, "old", 1, true, "the text in force")
	parser.AddPositionalValue(&after, "new", 2, true, "the text to publish")
	parser.Bool(&asJSON, "j", "json", "print the difference as JSON")
	return &command{
		parser:  parser,
		example: "pistachiopier diff old.yaml new.yaml",
		run:     func(out io.Writer) error { return diff(before, after, asJSON, out) },
	}
}

func diff(before, after string, asJSON bool, out io.Writer) error {
	old, err := readCatalog(before)
	if err != nil {
		return err
	}
	published, err := readCatalog(after)
	if err != nil {
		return err
	}
	d := catalog.Diff(old, published)
	if asJSON {
		return json.NewEncoder(out).Encode(d)
	}
	printDifference(d, out)
	return nil
}

// readCatalog reads and parses a file. Errors name the file, because diff reads two.
func readCatalog(path string) (*catalog.Catalog, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	parsed, err := catalog.Parse(text)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeTextInvalid, Message: path + " is not valid", Fix: "correct the problems below", Cause: err}
	}
	return parsed, nil
}

func printDifference(d *catalog.Difference, out io.Writer) {
	if d.Empty() {
		fmt.Fprintln(out, "the texts are equivalent")
		return
	}
	printNames(out, "service added", d.ServicesAdded)
	printNames(out, "service removed", d.ServicesRemoved)
	for _, service := range d.ServicesChanged {
		printSettingChanges(out, "service "+service.Service, service.Settings)
	}
	printNames(out, "shard added", d.ShardsAdded)
	printNames(out, "shard removed", d.ShardsRemoved)
	printReplicas(out, "replica added", d.ReplicasAdded)
	printReplicas(out, "replica removed", d.ReplicasRemoved)
	printReplicas(out, "drain begun", d.DrainsBegun)
	printReplicas(out, "drain ended", d.DrainsEnded)
	printSettingChanges(out, "customer", d.Customers)
	printSettingChanges(out, "policy", d.Policy)
	for _, bundle := range d.BundlesMoved {
		fmt.Fprintf(out, "bundle moved: %08x from %v to %v\n", uint32(bundle.Bundle), bundle.Before, bundle.After)
	}
	fmt.Fprintf(out, "%d of %d bundles move; their owners may change\n", len(d.BundlesMoved), len(d.BundlesMoved)+d.BundlesKept)
}

func printNames(out io.Writer, what string, names []string) {
	for _, name := range names {
		fmt.Fprintf(out, "%s: %s\n", what, name)
	}
}

func printReplicas(out io.Writer, what string, places []catalog.ReplicaPlacement) {
	for _, place := range places {
		fmt.Fprintf(out, "%s: %s of %s %s\n", what, place.Address, place.Shard, place.DataCentre)
	}
}

func printSettingChanges(out io.Writer, what string, changes []catalog.SettingChange) {
	for _, change := range changes {
		fmt.Fprintf(out, "%s: %s changes from %q to %q\n", what, change.Key, change.Before, change.After)
	}
}
