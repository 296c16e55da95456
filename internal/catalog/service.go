package catalog

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func (b *builder) buildService(key string, source *serviceText) {
	service := b.newService(key, source.Name, source.commonText)
	if len(source.Shards) == 0 {
		b.doc.Report(key+".shards", "the service has no shards", "write at least one shard with a replica")
	}
	for i, shard := range source.Shards {
		b.buildShard(fmt.Sprintf("%s.shards[%d]", key, i), service, i, shard)
	}
	b.addService(key, service)
}

func (b *builder) buildShard(key string, service *Service, index int, source shardText) {
	shard := Shard{Ref: core.ShardRef{Service: service.Name, Shard: index}}
	if len(source.Replicas) == 0 {
		b.doc.Report(key+".replicas", "the shard has no replicas", "write at least one replica")
	}
	for i, replica := range source.Replicas {
		addressKey := fmt.Sprintf("%s.replicas[%d].address", key, i)
		b.checkAddress(addressKey, replica.Address)
		shard.Replicas = append(shard.Replicas, Replica(replica))
	}
	service.Shards = append(service.Shards, shard)
}

// newService creates a service without shards from the keys common to services
// and groups. It copies the dependencies, since the services of a group differ in them.
func (b *builder) newService(key, name string, source commonText) *Service {
	return &Service{
		Name:        name,
		Index:       source.Index,
		DependsOn:   slices.Clone(source.DependsOn),
		Slots:       b.positiveCount(key+".slots", source.Slots, defaultSlots),
		Connections: b.positiveCount(key+".connections", source.Connections, defaultConnections),
		ConnectCost: source.ConnectCost,
		Timeout:     b.positiveDuration(key+".timeout", source.Timeout, defaultTimeout),
		Idempotent:  source.Idempotent == nil || *source.Idempotent,
	}
}

// addService adds a service to the catalog and checks that its name is unique.
func (b *builder) addService(key string, service *Service) {
	if service.Name == "" {
		b.doc.Report(key+".name", "the service has no name", "write name: NAME")
		return
	}
	if _, ok := b.catalog.Services[service.Name]; ok {
		b.doc.Report(key+".name", fmt.Sprintf("duplicate service %q", service.Name), "rename one")
		return
	}
	if !slices.Contains(b.source.Indexes, service.Index) {
		b.doc.Report(key+".index", fmt.Sprintf("index %q is not listed", service.Index), "add it to indexes")
	}
	if service.Slots > service.Connections {
		b.doc.Report(key+".slots", fmt.Sprintf("%d slots exceed %d connections", service.Slots, service.Connections), "raise connections or lower slots")
	}
	b.catalog.Services[service.Name] = service
	b.catalog.ServiceNames = append(b.catalog.ServiceNames, service.Name)
	b.keys[service.Name] = key
}

func (b *builder) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.doc.Report(key, fmt.Sprintf("%q is not IP:PORT", address), "write an IP address and a port, such as 10.1.0.7:8080")
		return
	}
	if other, ok := b.addresses[address]; ok {
		b.doc.Report(key, fmt.Sprintf("address %s is already used at %s", address, other), "give each replica its own address")
		return
	}
	b.addresses[address] = key
}
