package catalog

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func (b *builder) service(key string, written *serviceText) {
	service := b.newService(key, written.Name, written.commonText)
	if len(written.Shards) == 0 {
		b.doc.Report(key+".shards", "the service has no shards", "write at least one shard with a replica")
	}
	for i, shard := range written.Shards {
		b.shard(fmt.Sprintf("%s.shards[%d]", key, i), service, i, shard)
	}
	b.add(key, service)
}

func (b *builder) shard(key string, service *Service, index int, written shardText) {
	shard := Shard{Ref: core.ShardRef{Service: service.Name, Shard: index}}
	if len(written.Replicas) == 0 {
		b.doc.Report(key+".replicas", "the shard has no replicas", "write at least one replica")
	}
	for i, replica := range written.Replicas {
		at := fmt.Sprintf("%s.replicas[%d].address", key, i)
		b.address(at, replica.Address)
		shard.Replicas = append(shard.Replicas, Replica(replica))
	}
	service.Shards = append(service.Shards, shard)
}

// newService makes a service without shards from what services and groups have
// in common. Dependencies are copied, as the services of a group differ in them.
func (b *builder) newService(key, name string, written commonText) *Service {
	return &Service{
		Name:        name,
		Index:       written.Index,
		DependsOn:   slices.Clone(written.DependsOn),
		Slots:       b.count(key+".slots", written.Slots, defaultSlots),
		Connections: b.count(key+".connections", written.Connections, defaultConnections),
		ConnectCost: written.ConnectCost,
		Timeout:     b.duration(key+".timeout", written.Timeout, defaultTimeout),
		Idempotent:  written.Idempotent == nil || *written.Idempotent,
	}
}

// add registers a service, whose name must be new.
func (b *builder) add(key string, service *Service) {
	if service.Name == "" {
		b.doc.Report(key+".name", "the service has no name", "write name: NAME")
		return
	}
	if _, ok := b.catalog.Services[service.Name]; ok {
		b.doc.Report(key+".name", fmt.Sprintf("service %q stands twice", service.Name), "rename one")
		return
	}
	if !slices.Contains(b.written.Indexes, service.Index) {
		b.doc.Report(key+".index", fmt.Sprintf("index %q is not listed", service.Index), "add it to indexes")
	}
	if service.Slots > service.Connections {
		b.doc.Report(key+".slots", fmt.Sprintf("%d slots need more than %d connections", service.Slots, service.Connections), "raise connections or lower slots")
	}
	b.catalog.Services[service.Name] = service
	b.catalog.ServiceNames = append(b.catalog.ServiceNames, service.Name)
	b.keys[service.Name] = key
}

func (b *builder) address(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.doc.Report(key, fmt.Sprintf("%q is not IP:PORT", address), "write an IP number and a port, such as 10.1.0.7:8080")
		return
	}
	if other, ok := b.addresses[address]; ok {
		b.doc.Report(key, fmt.Sprintf("address %s is used at %s too", address, other), "give each replica its own address")
		return
	}
	b.addresses[address] = key
}
