package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
)

// Shape is the size of an emulated set of services.
type Shape struct {
	Services    []ServiceShape
	Versions    []uint64
	ServiceTime ServiceTime
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

// MainSearchService is the service that MainSearch asks.
const MainSearchService = "main-search"

// MainSearch is the size of both users' main searches: 20 services of 2
// replicas with 2 slots, 25 connections and 6 ms for each new one. The first
// depends on all the others.
func MainSearch() Shape {
	const services = 20
	return MainSearchOf(services)
}

// MainSearchOf is a main search of fewer or more services.
func MainSearchOf(services int) Shape {
	shape := Shape{Versions: []uint64{41, 42}, ServiceTime: DefaultServiceTime()}
	lead := ServiceShape{
		Name:        MainSearchService,
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
		next.Name = fmt.Sprintf("%s-%02d", MainSearchService, number)
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
	shape := Shape{Versions: []uint64{41, 42}, ServiceTime: DefaultServiceTime()}
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

// Sampler returns a seeded source of service times, safe for concurrent use.
func (s ServiceTime) Sampler(seed uint64) func() time.Duration {
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
