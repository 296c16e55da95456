package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
)

// Shape describes an emulated set of services.
type Shape struct {
	Services    []ServiceShape
	Versions    []uint64
	ServiceTime ServiceTime
}

// ServiceShape describes an emulated service.
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

// ServiceTime is a log-normal distribution of service times with a slow tail.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// TailShare is the fraction of requests that take TailFactor times as long.
	TailShare  float64
	TailFactor float64
}

// MainSearchService is the queried service of MainSearch.
const MainSearchService = "main-search"

// MainSearch is the shape of both users' main searches: 20 services of 2
// replicas, each with 2 slots, 25 connections and 6 ms for each new connection.
// The first service depends on all others.
func MainSearch() Shape {
	const services = 20
	return MainSearchOf(services)
}

// MainSearchOf is MainSearch with the given number of services.
func MainSearchOf(services int) Shape {
	shape := Shape{Versions: []uint64{41, 42}, ServiceTime: DefaultServiceTime()}
	mainSearch := ServiceShape{
		Name:        MainSearchService,
		Shards:      1,
		Replicas:    2,
		Slots:       2,
		Connections: 25,
		ConnectCost: 6 * time.Millisecond,
		Timeout:     500 * time.Millisecond,
		Idempotent:  true,
	}
	shape.Services = []ServiceShape{mainSearch}
	for number := 2; number <= services; number++ {
		next := mainSearch
		next.Name = fmt.Sprintf("%s-%02d", MainSearchService, number)
		shape.Services = append(shape.Services, next)
		shape.Services[0].DependsOn = append(shape.Services[0].DependsOn, next.Name)
	}
	return shape
}

// DefaultServiceTime has a median of 4 ms; one request in a hundred takes eight
// times as long.
func DefaultServiceTime() ServiceTime {
	return ServiceTime{Median: 4 * time.Millisecond, Sigma: 0.4, TailShare: 0.01, TailFactor: 8}
}

// ShapeOf returns the shape of an operators' configuration. All shards of a service
// get the number of replicas of its first shard.
func ShapeOf(parsed *catalog.Catalog) Shape {
	shape := Shape{Versions: []uint64{41, 42}, ServiceTime: DefaultServiceTime()}
	for _, name := range parsed.ServiceNames {
		service := parsed.Services[name]
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

// Sampler returns a seeded generator of service times that is safe for concurrent use.
func (s ServiceTime) Sampler(seed uint64) func() time.Duration {
	var mutex sync.Mutex
	rng := rand.New(rand.NewPCG(seed, seed))
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		nanoseconds := float64(s.Median) * math.Exp(s.Sigma*rng.NormFloat64())
		if rng.Float64() < s.TailShare {
			nanoseconds *= s.TailFactor
		}
		return time.Duration(nanoseconds)
	}
}
