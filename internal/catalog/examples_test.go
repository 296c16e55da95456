package catalog

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	return data
}

// Guards against broken shipped examples, which operators copy first: each must
// parse and have the documented numbers of services, replicas and data centres.
func TestExamples(t *testing.T) {
	cases := []struct {
		file, lead, records string
		replicas            int
		dataCentres         int
	}{
		{"magnolia.yaml", "plate-costing", "supplier-import-01", 20*2 + 30*2 + 7 + 4, 4},
		{"brightwater.yaml", "pitching-search", "licence-records-01", 20*2 + 30*2 + 3 + 3, 3},
	}
	for _, c := range cases {
		parsed, err := Parse(example(t, c.file))
		require.NoError(t, err, c.file)
		assert.Len(t, parsed.ServiceNames, 52, c.file)
		replicas, dataCentres := 0, map[string]bool{}
		for _, service := range parsed.Services {
			for _, shard := range service.Shards {
				replicas += len(shard.Replicas)
				for _, replica := range shard.Replicas {
					dataCentres[replica.DataCentre] = true
				}
			}
		}
		assert.Equal(t, c.replicas, replicas, c.file)
		assert.Len(t, dataCentres, c.dataCentres, c.file)
		assert.Len(t, parsed.Closure(c.lead), 20, c.file)
		lead := parsed.Services[c.lead]
		assert.Equal(t, 2, lead.Slots)
		assert.Equal(t, 25, lead.Connections)
		assert.Equal(t, 6*time.Millisecond, lead.ConnectCost)
		assert.True(t, lead.Idempotent)
		assert.False(t, parsed.Services[c.records].Idempotent, "records must not be repeated")
		assert.Len(t, parsed.Customers, 3)
	}
}
