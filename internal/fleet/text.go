package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// ConfigTextOptions are the choices of an emulation's text.
type ConfigTextOptions struct {
	Routing    string
	BundleSize int
	// Weights lists the customers that have a weight of their own.
	Weights map[core.Customer]float64
	// InFlight bounds each customer's requests at an entry.
	InFlight int
}

// ConfigText writes the operators' text for the emulated replicas.
func (e *Emulation) ConfigText(options ConfigTextOptions) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nindexes: [main]\npolicy: {routing: %s, bundle_size: %d}\n", options.Routing, options.BundleSize)
	fmt.Fprintf(&b, "default_customer: {in_flight: %d}\n", options.InFlight)
	if len(options.Weights) > 0 {
		b.WriteString("customers:\n")
	}
	for _, name := range sortedCustomers(options.Weights) {
		fmt.Fprintf(&b, "  - {name: %s, weight: %g, in_flight: %d}\n", name, options.Weights[name], options.InFlight)
	}
	b.WriteString("services:\n")
	next := 0
	for _, service := range e.Shape.Services {
		writeService(&b, service)
		for range service.Shards {
			b.WriteString("      - replicas:\n")
			for range service.Replicas {
				fmt.Fprintf(&b, "          - {address: %q, data_centre: dc%d}\n", e.Replicas[next].Address(), next%dataCentres+1)
				next++
			}
		}
	}
	return b.String()
}

func writeService(b *strings.Builder, service ServiceShape) {
	fmt.Fprintf(b, "  - name: %s\n    index: main\n    slots: %d\n    connections: %d\n", service.Name, service.Slots, service.Connections)
	fmt.Fprintf(b, "    connect_cost: %s\n    timeout: %s\n    idempotent: %t\n", service.ConnectCost, service.Timeout, service.Idempotent)
	if len(service.DependsOn) > 0 {
		fmt.Fprintf(b, "    depends_on: [%s]\n", strings.Join(service.DependsOn, ", "))
	}
	b.WriteString("    shards:\n")
}

func sortedCustomers(weights map[core.Customer]float64) []core.Customer {
	return slices.Sorted(maps.Keys(weights))
}
