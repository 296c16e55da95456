package fleet

import (
	"fmt"
	"net"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// maxReplicas keeps an emulation small enough for one process.
const maxReplicas = 1000

// Replica is an emulated replica of a service.
type Replica struct {
	*standin.Upstream
	Service  string
	listener *limitedListener
}

// Connections returns the replica's connection counts since its start.
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
		return nil, fault.NotRun(fault.CodeBadRequest, fmt.Sprintf("the configuration has more than %d replicas", maxReplicas), "emulate a smaller configuration")
	}
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, fault.Wrap("listen for an emulated replica", err)
	}
	limited := &limitedListener{Listener: listener, maxConnections: service.Connections, connectCost: service.ConnectCost}
	sampleServiceTime := e.Shape.ServiceTime.Sampler(seed + uint64(len(e.Replicas)))
	behaviour := standin.Behaviour{Slots: service.Slots, Versions: e.Shape.Versions, DrawService: sampleServiceTime}
	return &Replica{
		Upstream: standin.StartUpstreamOn(limited, behaviour),
		Service:  service.Name,
		listener: limited,
	}, nil
}

// Close stops all replicas.
func (e *Emulation) Close() {
	for _, replica := range e.Replicas {
		_ = replica.Close()
	}
}

// Received returns the number of requests that reached the replicas.
func (e *Emulation) Received() int {
	sum := 0
	for _, replica := range e.Replicas {
		sum += replica.Received()
	}
	return sum
}

// Connections sums the replicas' connection counts; Peak is the highest of any one replica.
func (e *Emulation) Connections() ConnectionCounts {
	var sum ConnectionCounts
	for _, replica := range e.Replicas {
		counts := replica.Connections()
		sum.Open += counts.Open
		sum.Accepted += counts.Accepted
		sum.Refused += counts.Refused
		sum.Peak = max(sum.Peak, counts.Peak)
	}
	return sum
}
