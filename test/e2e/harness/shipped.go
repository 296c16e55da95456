package harness

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
)

// Example is one of the configuration texts under examples/.
type Example struct {
	text     *catalog.Catalog
	Replicas int
}

// ReadExample reads and parses a configuration text under examples/.
func ReadExample(t testing.TB, path string) *Example {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	text, err := catalog.Parse(data)
	require.NoError(t, err)
	shipped := &Example{text: text}
	for _, service := range text.Services {
		for _, shard := range service.Shards {
			shipped.Replicas += len(shard.Replicas)
		}
	}
	return shipped
}

// TextAt returns the text with the replicas at the given addresses, in order.
func (s *Example) TextAt(addresses []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nindexes: [%s]\nservices:\n", strings.Join(s.text.Indexes, ", "))
	for _, name := range s.text.ServiceNames {
		service := s.text.Services[name]
		fmt.Fprintf(&b, "  - name: %s\n    index: %s\n    idempotent: %t\n", name, service.Index, service.Idempotent)
		fmt.Fprintf(&b, "    slots: %d\n    connections: %d\n    timeout: 4s\n", service.Slots, service.Connections)
		fmt.Fprintf(&b, "    depends_on: [%s]\n    shards:\n", strings.Join(service.DependsOn, ", "))
		for _, shard := range service.Shards {
			b.WriteString("      - replicas:\n")
			for _, replica := range shard.Replicas {
				fmt.Fprintf(&b, "          - {address: %q, data_centre: %s}\n", addresses[0], replica.DataCentre)
				addresses = addresses[1:]
			}
		}
	}
	return b.String()
}
