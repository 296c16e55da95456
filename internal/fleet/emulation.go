package fleet

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// maxReplicas bounds an emulation, so that one process can hold it.
const maxReplicas = 1000

// Shape is the size of an emulated set of services.
type Shape struct {
	Services []ServiceShape
	Versions []uint64
	Time     ServiceTime
}

// ServiceShape is the size of one service.
type ServiceShape struct {
	Name        string
	DependsOn   []string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	ConnectCost time.Duration
	Timeout     time.Duration
	Idempotent  bool
}

// ServiceTime is a log-normal service time, of which a share takes much longer.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the time's logarithm.
	Sigma float64
	// TailShare of the requests take TailFactor times as long.
	TailShare  float64
	TailFactor float64
}

// MainLead is the service that MainSearch asks.
const MainLead = "main-search"

// MainSearch is the size of both users' main searches: 20 services of 2
// replicas with 2 slots, 25 connections and 6 ms for each new one. The first
// depends on all the others.
func MainSearch() Shape {
	const services = 20
	return MainSearchOf(services)
}

// MainSearchOf is a main search of fewer or more services.
func MainSearchOf(services int) Shape {
	shape := Shape{Versions: []uint64{41, 42}, Time: DefaultServiceTime()}
	lead := ServiceShape{
		Name:        MainLead,
		Shards:      1,
		Replicas:    2,
		Slots:       2,
		Connections: 25,
		ConnectCost: 6 * time.Millisecond,
		Timeout:     500 * time.Millisecond,
		Idempotent:  true,
	}
	shape.Services = []ServiceShape{lead}
	for number := 2; number <= services; number++ {
		next := lead
		next.Name = fmt.Sprintf("%s-%02d", MainLead, number)
		shape.Services = append(shape.Services, next)
		shape.Services[0].DependsOn = append(shape.Services[0].DependsOn, next.Name)
	}
	return shape
}

// DefaultServiceTime is 4 ms in the middle; one request in a hundred takes
// eight times as long.
func DefaultServiceTime() ServiceTime {
	return ServiceTime{Median: 4 * time.Millisecond, Sigma: 0.4, TailShare: 0.01, TailFactor: 8}
}

// ShapeOf is the size of an operators' text. A service's shards take the
// number of replicas of its first one.
func ShapeOf(text *catalog.Catalog) Shape {
	shape := Shape{Versions: []uint64{41, 42}, Time: DefaultServiceTime()}
	for _, name := range text.Names {
		service := text.Services[name]
		shape.Services = append(shape.Services, ServiceShape{
			Name:        name,
			DependsOn:   service.DependsOn,
			Shards:      len(service.Shards),
			Replicas:    len(service.Shards[0].Replicas),
			Slots:       service.Slots,
			Connections: service.Connections,
			ConnectCost: service.ConnectCost,
			Timeout:     service.Timeout,
			Idempotent:  service.Idempotent,
		})
	}
	return shape
}

// Draw returns a seeded source of service times, safe for concurrent use.
func (s ServiceTime) Draw(seed uint64) func() time.Duration {
	var mutex sync.Mutex
	source := rand.New(rand.NewPCG(seed, seed))
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		drawn := float64(s.Median) * math.Exp(s.Sigma*source.NormFloat64())
		if source.Float64() < s.TailShare {
			drawn *= s.TailFactor
		}
		return time.Duration(drawn)
	}
}

// Replica is one emulated replica.
type Replica struct {
	*standin.Upstream
	Service  string
	listener *limitedListener
}

// Connections reports the replica's connections so far.
func (r *Replica) Connections() ConnectionCounts { return r.listener.counts() }

// Emulation is a running set of emulated replicas.
type Emulation struct {
	Shape    Shape
	Replicas []*Replica
}

// StartEmulation starts the replicas of a shape on loopback.
func StartEmulation(shape Shape, seed uint64) (*Emulation, error) {
	emulation := &Emulation{Shape: shape}
	for _, service := range shape.Services {
		for range service.Shards * service.Replicas {
			replica, err := emulation.startReplica(service, seed)
			if err != nil {
				emulation.Close()
				return nil, err
			}
			emulation.Replicas = append(emulation.Replicas, replica)
		}
	}
	return emulation, nil
}

func (e *Emulation) startReplica(service ServiceShape, seed uint64) (*Replica, error) {
	if len(e.Replicas) >= maxReplicas {
		return nil, fault.NotRun(fault.CodeBadRequest, fmt.Sprintf("the text has more than %d replicas", maxReplicas), "emulate a smaller text")
	}
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fault.Step("listen for an emulated replica", err)
	}
	limited := &limitedListener{Listener: listener, limit: service.Connections, cost: service.ConnectCost}
	draw := e.Shape.Time.Draw(seed + uint64(len(e.Replicas)))
	behaviour := standin.Behaviour{Slots: service.Slots, Versions: e.Shape.Versions, Draw: draw}
	return &Replica{
		Upstream: standin.StartUpstreamOn(limited, behaviour),
		Service:  service.Name,
		listener: limited,
	}, nil
}

// Close ends all replicas.
func (e *Emulation) Close() {
	for _, replica := range e.Replicas {
		_ = replica.Close()
	}
}

// Received counts the requests that reached the replicas.
func (e *Emulation) Received() int {
	sum := 0
	for _, replica := range e.Replicas {
		sum += replica.Received()
	}
	return sum
}

// Connections sums the replicas' connections; Peak is the highest of any.
func (e *Emulation) Connections() ConnectionCounts {
	var sum ConnectionCounts
	for _, replica := range e.Replicas {
		counts := replica.Connections()
		sum.Held += counts.Held
		sum.Accepted += counts.Accepted
		sum.Refused += counts.Refused
		sum.Peak = max(sum.Peak, counts.Peak)
	}
	return sum
}

// TextOptions are the choices of an emulation's text.
type TextOptions struct {
	Routing    string
	BundleSize int
	// Weights lists the customers that have a weight of their own.
	Weights map[core.Customer]float64
	// InFlight bounds each customer's requests at an entry.
	InFlight int
}

// Text writes the operators' text for the emulated replicas.
func (e *Emulation) Text(options TextOptions) string {
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
