package experiment

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Sizes of the measured configurations, in services of one shard with two replicas
// each. The larger one has the 6,000 replicas of the target.
const (
	fewServices  = 300
	manyServices = 3000
	// servicesPerQuery is the number of services in the closure of a query.
	servicesPerQuery = 110
	viewNodes        = 780
	ownerLookups     = 1000
)

// groupedConfig describes services of two replicas in groups. The first service of
// each group depends on the others.
func groupedConfig(services, groupSize, bundleSize int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nindexes: [main]\npolicy: {bundle_size: %d}\nservices:\n", bundleSize)
	for i := range services {
		group, position := i/groupSize, i%groupSize
		fmt.Fprintf(&b, "  - {name: s-%d-%d, index: main, ", group, position)
		if position == 0 {
			writeDependencies(&b, group, min(groupSize, services-i))
		}
		fmt.Fprintf(&b, "shards: [{replicas: [{address: '10.%d.%d.1:80', data_centre: dc1}, {address: '10.%d.%d.2:80', data_centre: dc2}]}]}\n",
			i/250, i%250, i/250, i%250)
	}
	return []byte(b.String())
}

func writeDependencies(b *strings.Builder, group, size int) {
	names := make([]string, 0, size)
	for position := 1; position < size; position++ {
		names = append(names, fmt.Sprintf("s-%d-%d", group, position))
	}
	fmt.Fprintf(b, "depends_on: [%s], ", strings.Join(names, ", "))
}

func catalogSlopes() ([]figure, error) {
	few, err := catalogCost(fewServices)
	if err != nil {
		return nil, err
	}
	many, err := catalogCost(manyServices)
	if err != nil {
		return nil, err
	}
	const replicas = 2
	return append([]figure{
		{"catalog: memory of a replica", "bytes", (many.memory - few.memory) / float64(replicas*(manyServices-fewServices))},
		{"catalog: text of a replica", "bytes", (many.text - few.text) / float64(replicas*(manyServices-fewServices))},
		{"catalog: CPU to take a text of 600 replicas", "ms", few.millis},
		{"catalog: CPU to take a text of 6000 replicas", "ms", many.millis},
	}, viewSlopes()...), nil
}

// catalogSize holds the size of a configuration in memory and as text, in bytes, and the CPU
// time to parse it, in milliseconds.
type catalogSize struct {
	memory float64
	text   float64
	millis float64
}

func catalogCost(services int) (catalogSize, error) {
	text := groupedConfig(services, servicesPerQuery, 1)
	var parsed *catalog.Catalog
	before := memoryInUse()
	cpu, _, err := measureCPU(func() error {
		var err error
		parsed, err = catalog.Parse(text)
		return err
	})
	size := catalogSize{memory: memoryInUse() - before, text: float64(len(text)), millis: microsPer(cpu, 1) / 1000}
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(text)
	return size, fault.Wrap("parse the configuration", err)
}

// viewSlopes measures the memory of a view and the CPU time to find the owner of a bundle in it.
func viewSlopes() []figure {
	before := memoryInUse()
	nodes := make([]route.Node, 0, viewNodes)
	for i := range viewNodes {
		nodes = append(nodes, route.Node{
			ID:            core.NodeID(fmt.Sprintf("vm-%04d", i)),
			DataCentre:    fmt.Sprintf("dc%d", i%4+1),
			PeerAddress:   fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		})
	}
	view := route.NewView(nodes)
	memory := memoryInUse() - before
	cpu, _, _ := measureCPU(func() error {
		for bundle := range ownerLookups {
			view.Rank(core.BundleID(bundle), "dc1", 0)
		}
		return nil
	})
	return []figure{
		{"view: memory of a node", "bytes", memory / viewNodes},
		{"view: CPU to find an owner among 780 nodes", "us", microsPer(cpu, ownerLookups)},
	}
}
