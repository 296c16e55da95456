package fleet

import (
	"fmt"
	"net"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// maxReplicas bounds an emulation, so that one process can hold it.
const maxReplicas = 1000

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
	draw := e.Shape.ServiceTime.Sampler(seed + uint64(len(e.Replicas)))
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
		sum.Open += counts.Open
		sum.Accepted += counts.Accepted
		sum.Refused += counts.Refused
		sum.Peak = max(sum.Peak, counts.Peak)
	}
	return sum
}
