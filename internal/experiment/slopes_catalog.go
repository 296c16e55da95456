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

// The sizes at which the text is measured, in services of one shard with two
// replicas each; the larger has the 6,000 replicas of the target.
const (
	fewServices  = 300
	manyServices = 3000
	// groupOfTarget is how many services a question needs.
	groupOfTarget = 110
	viewNodes     = 780
	ownersDrawn   = 1000
)

// wideText writes services of two replicas in groups, each group led by a
// service that depends on the rest.
func wideText(services, groupSize, bundleSize int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nindexes: [main]\npolicy: {bundle_size: %d}\nservices:\n", bundleSize)
	for i := range services {
		group, place := i/groupSize, i%groupSize
		fmt.Fprintf(&b, "  - {name: s-%d-%d, index: main, ", group, place)
		if place == 0 {
			writeDependencies(&b, group, min(groupSize, services-i))
		}
		fmt.Fprintf(&b, "shards: [{replicas: [{address: '10.%d.%d.1:80', data_centre: dc1}, {address: '10.%d.%d.2:80', data_centre: dc2}]}]}\n",
			i/250, i%250, i/250, i%250)
	}
	return []byte(b.String())
}

func writeDependencies(b *strings.Builder, group, size int) {
	names := make([]string, 0, size)
	for place := 1; place < size; place++ {
		names = append(names, fmt.Sprintf("s-%d-%d", group, place))
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

// catalogSize is what one text costs.
type catalogSize struct {
	memory float64
	text   float64
	millis float64
}

func catalogCost(services int) (catalogSize, error) {
	text := wideText(services, groupOfTarget, 1)
	var parsed *catalog.Catalog
	before := memoryInUse()
	cpu, _, err := cpuOf(func() error {
		var err error
		parsed, err = catalog.Parse(text)
		return err
	})
	size := catalogSize{memory: memoryInUse() - before, text: float64(len(text)), millis: micros(cpu, 1) / 1000}
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(text)
	return size, fault.Wrap("parse the text", err)
}

// viewSlopes is the cost of finding a bundle's owner among all nodes.
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
	cpu, _, _ := cpuOf(func() error {
		for bundle := range ownersDrawn {
			view.Rank(core.BundleID(bundle), "dc1", 0)
		}
		return nil
	})
	return []figure{
		{"view: memory of a node", "bytes", memory / viewNodes},
		{"view: CPU to find an owner among 780 nodes", "us", micros(cpu, ownersDrawn)},
	}
}
