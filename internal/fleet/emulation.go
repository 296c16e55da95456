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

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// Shape is the size of an emulated set of services: a lead that depends on all
// the others, each service of one shard.
type Shape struct {
	Lead        string
	Services    int
	Replicas    int
	Slots       int
	Connections int
	ConnectCost time.Duration
	Timeout     time.Duration
	Versions    []uint64
	Time        ServiceTime
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

// MainSearch is the size of both users' main searches: 20 services of 2
// replicas with 2 slots, 25 connections and 6 ms for each new one.
func MainSearch() Shape {
	return Shape{
		Lead:        "main-search",
		Services:    20,
		Replicas:    2,
		Slots:       2,
		Connections: 25,
		ConnectCost: 6 * time.Millisecond,
		Timeout:     500 * time.Millisecond,
		Versions:    []uint64{41, 42},
		Time:        ServiceTime{Median: 4 * time.Millisecond, Sigma: 0.4, TailShare: 0.01, TailFactor: 8},
	}
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
	for i := range shape.Services * shape.Replicas {
		replica, err := startReplica(shape, i, seed+uint64(i))
		if err != nil {
			emulation.Close()
			return nil, err
		}
		emulation.Replicas = append(emulation.Replicas, replica)
	}
	return emulation, nil
}

func startReplica(shape Shape, number int, seed uint64) (*Replica, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fault.Step("listen for an emulated replica", err)
	}
	limited := &limitedListener{Listener: listener, limit: shape.Connections, cost: shape.ConnectCost}
	behaviour := standin.Behaviour{Slots: shape.Slots, Versions: shape.Versions, Draw: shape.Time.Draw(seed)}
	return &Replica{
		Upstream: standin.StartUpstreamOn(limited, behaviour),
		Service:  shape.serviceName(number / shape.Replicas),
		listener: limited,
	}, nil
}

func (s Shape) serviceName(number int) string {
	if number == 0 {
		return s.Lead
	}
	return fmt.Sprintf("%s-%02d", s.Lead, number+1)
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
	for number := range e.Shape.Services {
		e.writeService(&b, number)
	}
	return b.String()
}

func (e *Emulation) writeService(b *strings.Builder, number int) {
	shape := e.Shape
	fmt.Fprintf(b, "  - name: %s\n    index: main\n    slots: %d\n    connections: %d\n    connect_cost: %s\n    timeout: %s\n",
		shape.serviceName(number), shape.Slots, shape.Connections, shape.ConnectCost, shape.Timeout)
	if number == 0 && shape.Services > 1 {
		names := make([]string, 0, shape.Services-1)
		for i := 1; i < shape.Services; i++ {
			names = append(names, shape.serviceName(i))
		}
		fmt.Fprintf(b, "    depends_on: [%s]\n", strings.Join(names, ", "))
	}
	b.WriteString("    shards:\n      - replicas:\n")
	for i, replica := range e.Replicas[number*shape.Replicas : (number+1)*shape.Replicas] {
		fmt.Fprintf(b, "          - {address: %q, data_centre: dc%d}\n", replica.Address(), (number+i)%dataCentres+1)
	}
}

func sortedCustomers(weights map[core.Customer]float64) []core.Customer {
	return slices.Sorted(maps.Keys(weights))
}
