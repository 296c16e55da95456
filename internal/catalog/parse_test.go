package catalog

import (
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

const oneService = "version: 1\nindexes: [i]\nservices:\n  - name: a\n    index: i\n"

func oneShard(address string) string {
	return "    shards: [{replicas: [{address: \"" + address + "\"}]}]\n"
}

func serviceEntry(name, rest string) string {
	return "  - name: " + name + "\n    index: i\n" + rest
}

// Each invalid text is rejected with the position, the key, the problem and a fix.
func TestInvalidTextsAreRejectedWithPositionAndFix(t *testing.T) {
	good := oneService + oneShard("10.0.0.1:1")
	cases := map[string]struct {
		text         string
		line, column int
		key          string
		message, fix string
	}{
		"unknown key":          {good + "    slotz: 2\n", 7, 5, "services[0].slotz", "unknown key", `did you mean "slots"?`},
		"cycle":                {oneService + "    depends_on: [b]\n" + oneShard("10.0.0.1:1") + serviceEntry("b", "    depends_on: [a]\n"+oneShard("10.0.0.2:1")), 6, 17, "services[0].depends_on", "cycle: a -> b -> a", "remove one"},
		"self cycle":           {oneService + "    depends_on: [a]\n" + oneShard("10.0.0.1:1"), 6, 17, "services[0].depends_on", "cycle: a -> a", "remove one"},
		"duplicate address":    {good + serviceEntry("b", oneShard("10.0.0.1:1")), 9, 36, "services[1].shards[0].replicas[0].address", "is already used at services[0]", "its own address"},
		"zero slots":           {good + "    slots: 0\n", 7, 12, "services[0].slots", "0 is too small", "1 or more"},
		"more slots":           {good + "    slots: 26\n", 7, 12, "services[0].slots", "26 slots exceed 25 connections", "lower slots"},
		"oversized":            {good + "#" + strings.Repeat("x", MaxTextBytes), 1, 1, "", "the limit is 1048576", "use groups"},
		"wrong type":           {good + "    slots: many\n", 7, 12, "services[0].slots", `"many" is not a whole number`, "whole number"},
		"wrong kind":           {good + "    depends_on: b\n", 7, 17, "services[0].depends_on", "expected a list", "[a, b]"},
		"bad duration":         {good + "    timeout: 5\n", 7, 14, "services[0].timeout", "is not a duration", "250ms"},
		"unknown dependency":   {good + "    depends_on: [z]\n", 7, 17, "services[0].depends_on", `depends on "z", which is not defined`, "add the service"},
		"unknown index":        {strings.Replace(good, "index: i", "index: j", 1), 5, 12, "services[0].index", `index "j" is not listed`, "add it to indexes"},
		"not idempotent":       {good + "    depends_on: [b]\n" + serviceEntry("b", "    idempotent: false\n"+oneShard("10.0.0.2:1")), 7, 17, "services[0].depends_on", "which is not idempotent", "only idempotent"},
		"repeated key":         {good + "    name: b\n", 7, 5, "services[0].name", "duplicate key", "keep one"},
		"no replica":           {oneService + "    shards: [{}]\n", 6, 14, "services[0].shards[0].replicas", "no replicas", "at least one"},
		"host name":            {oneService + oneShard("db:1"), 6, 36, "services[0].shards[0].replicas[0].address", "is not IP:PORT", "IP address"},
		"too many of a group":  {"version: 1\nindexes: [i]\ngroups:\n  - {name: g, index: i, services: 1000, shards: 1000, first_address: \"10.0.0.1:1\"}\n", 4, 35, "groups[0].services", "exceed the limit of 50000 replicas", "lower"},
		"alias":                {oneService + "    shards: &s [{replicas: [{address: \"10.0.0.1:1\"}]}]\n" + serviceEntry("b", "    shards: *s\n"), 9, 13, "services[1].shards", "aliases are not supported", "write the value"},
		"not YAML":             {"version: [", 1, 1, "", "not valid YAML", "syntax"},
		"no service":           {"version: 1\n", 1, 1, "services", "no service is defined", "at least one"},
		"unknown text version": {strings.Replace(good, "version: 1", "version: 2", 1), 1, 10, "version", "only 1 is supported", "version: 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems), "got %v", err)
			first := problems[0]
			assert.Equal(t, c.key, first.Key)
			assert.Contains(t, first.Message, c.message)
			assert.Contains(t, first.Fix, c.fix)
			assert.Equal(t, [2]int{c.line, c.column}, [2]int{first.Line, first.Column})
		})
	}
}

// FuzzText looks for a text that makes Parse panic, which would stop every node
// of the fleet, or that gives different catalogs when parsed twice.
func FuzzText(f *testing.F) {
	f.Add(example(f, "magnolia.yaml"))
	f.Add(example(f, "brightwater.yaml"))
	f.Add([]byte(oneService + oneShard("10.0.0.1:1")))
	f.Add([]byte("a: &a [*a]\n<<: *a\n"))
	f.Add([]byte("version: 1\nindexes: [i]\ngroups: [{name: g, index: i, services: 3, lead: true, first_address: \"[::ffff]:65535\", address_step: port}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Parse(data)
		if err != nil {
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems))
			require.NotEmpty(t, problems)
			return
		}
		second, err := Parse(data)
		require.NoError(t, err)
		require.True(t, reflect.DeepEqual(first, second))
	})
}

// largeText returns a text with 3,000 services of two replicas each, without
// groups, as operators generate them. With extra, one more service is in the middle.
func largeText(extra bool) []byte {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [i]\npolicy: {bundle_size: 10}\nservices:\n")
	for n := range 3000 {
		if extra && n == 1500 {
			b.WriteString(serviceEntry("extra", oneShard("10.200.0.1:1")))
		}
		fmt.Fprintf(&b, "  - name: service-%04d\n    index: i\n    shards:\n      - replicas:\n", n)
		for r := range 2 {
			fmt.Fprintf(&b, "          - {address: \"10.%d.%d.%d:8080\", data_centre: dc%d}\n", r+1, n/250, n%250, (n+r)%4)
		}
	}
	return []byte(b.String())
}

// Guards against a change of one service among 3,000 that moves all bundles
// after it: each owner would drop warm connections, and queries to unchanged
// services would reach cold replicas.
func TestAddedServiceMovesFewBundles(t *testing.T) {
	before, err := Parse(largeText(false))
	require.NoError(t, err)
	after, err := Parse(largeText(true))
	require.NoError(t, err)
	moved := 0
	for name, service := range before.Services {
		if after.Services[name].Shards[0].Bundle != service.Shards[0].Bundle {
			moved++
		}
	}
	assert.LessOrEqual(t, moved, 60, "shards of 3,000 that moved to another bundle")
	for _, bundle := range after.Bundles {
		assert.LessOrEqual(t, len(bundle.Shards), 15)
	}
	assert.InDelta(t, 300, len(after.Bundles), 60, "bundles of about ten shards")
}

func TestBundleSizeOneGivesEachShardItsOwnBundle(t *testing.T) {
	parsed, err := Parse(example(t, "magnolia.yaml"))
	require.NoError(t, err)
	assert.Len(t, parsed.Bundles, 52)
}

func BenchmarkParse6000Replicas(b *testing.B) {
	data := largeText(false)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	var held *Catalog
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		parsed, err := Parse(data)
		if err != nil {
			b.Fatal(err)
		}
		held = parsed
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
	runtime.KeepAlive(held)
}
