package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// ConfigTextOptions select the policy and customers of an emulation's configuration.
type ConfigTextOptions struct {
	Routing    string
	BundleSize int
	// Weights lists the customers that are configured with their own weight.
	Weights map[core.Customer]float64
	// InFlight limits the requests of each customer in flight at an entry.
	InFlight int
}

// ConfigText returns the operators' configuration text for the emulated replicas.
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
	replicaIndex := 0
	for _, service := range e.Shape.Services {
		writeService(&b, service)
		for range service.Shards {
			b.WriteString("      - replicas:\n")
			for range service.Replicas {
				fmt.Fprintf(&b, "          - {address: %q, data_centre: dc%d}\n", e.Replicas[replicaIndex].Address(), replicaIndex%dataCentreCount+1)
				replicaIndex++
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
