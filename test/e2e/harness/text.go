package harness

import (
	"fmt"
	"strings"
)

const (
	// Services and Replicas are the sizes of the largest search in production.
	Services = 20
	Replicas = 2
	// Lead is the service that depends on all other services.
	Lead = "plate-costing"
	// bundleSize is small so that each of three nodes owns some bundles.
	bundleSize = 4
)

// ConfigText returns a configuration text with Services services of Replicas
// replicas each, at the addresses in order; the first service is the Lead. The
// replicas at the draining addresses are marked as draining. Bundles are spread
// over the data centres, as a bundle's owner is a node of its data centre.
func ConfigText(addresses []string, draining ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\npolicy: {bundle_size: %d}\nindexes: [prices]\nservices:\n", bundleSize)
	var others []string
	for i := 1; i < Services; i++ {
		others = append(others, fmt.Sprintf("vendor-%02d", i))
	}
	for i := range Services {
		name := Lead
		if i > 0 {
			name = others[i-1]
		}
		fmt.Fprintf(&b, "  - name: %s\n    index: prices\n    slots: 2\n    connections: 25\n    connect_cost: 6ms\n    timeout: 4s\n", name)
		if i == 0 {
			fmt.Fprintf(&b, "    depends_on: [%s]\n", strings.Join(others, ", "))
		}
		b.WriteString("    shards:\n      - replicas:\n")
		for r := range Replicas {
			address := addresses[i*Replicas+r]
			fmt.Fprintf(&b, "          - {address: %q, data_centre: dc%d, draining: %t}\n", address, i/bundleSize%dataCentres+1, contains(draining, address))
		}
	}
	return b.String()
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}
