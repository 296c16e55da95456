package catalog

import (
	"fmt"
	"net/netip"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// buildGroup adds the services of a group. With lead, the first service carries
// the group's name and depends on all the others.
func (b *builder) buildGroup(key string, source *groupText) {
	services := b.positiveCount(key+".services", source.Services, 1)
	shards := b.positiveCount(key+".shards", source.Shards, 1)
	replicas := b.positiveCount(key+".replicas", source.Replicas, 1)
	b.checkRange(key+".services", services, 1, maxGroupServices)
	b.checkRange(key+".shards", shards, 1, maxShardsPerService)
	b.checkRange(key+".replicas", replicas, 1, maxReplicasPerShard)
	if b.doc.Err() == nil && len(b.addresses)+services*shards*replicas > maxReplicas {
		b.doc.Report(key+".services", fmt.Sprintf("%d services of %d shards of %d replicas exceed the limit of %d replicas in a text", services, shards, replicas, maxReplicas), "lower services, shards or replicas")
	}
	next, ok := b.addressSequence(key, source)
	if !ok || b.doc.Err() != nil {
		return
	}
	names := groupNames(source, services)
	b.groups[source.Name] = names
	for i, name := range names {
		service := b.newService(key, name, source.commonText)
		service.Shards = b.groupShards(key, name, rotate(source.DataCentres, i), shards, replicas, next)
		if source.Lead && i == 0 {
			service.DependsOn = append(service.DependsOn, names[1:]...)
		}
		b.addService(key, service)
	}
}

func groupNames(source *groupText, services int) []string {
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", source.Name, i+1)
	}
	if source.Lead || services == 1 {
		names[0] = source.Name
	}
	return names
}

func (b *builder) groupShards(key, name string, dataCentres []string, shards, replicas int, next func() string) []Shard {
	list := make([]Shard, shards)
	for i := range list {
		list[i].Ref = core.ShardRef{Service: name, Shard: i}
		for j := range replicas {
			replica := Replica{Address: next()}
			if len(dataCentres) > 0 {
				replica.DataCentre = dataCentres[(i+j)%len(dataCentres)]
			}
			b.checkAddress(key+".first_address", replica.Address)
			list[i].Replicas = append(list[i].Replicas, replica)
		}
	}
	return list
}

// rotate returns the list rotated to begin at start, so that the first replicas
// of a group's services are spread over the data centres.
func rotate(dataCentres []string, start int) []string {
	if len(dataCentres) == 0 {
		return nil
	}
	start %= len(dataCentres)
	return append(append([]string(nil), dataCentres[start:]...), dataCentres[:start]...)
}

// addressSequence returns a generator of a group's replica addresses, which
// increments the host or the port by one at each call.
func (b *builder) addressSequence(key string, source *groupText) (func() string, bool) {
	address, err := netip.ParseAddrPort(source.FirstAddress)
	if err != nil {
		b.doc.Report(key+".first_address", fmt.Sprintf("%q is not IP:PORT", source.FirstAddress), "write the first replica's address, such as 10.1.0.7:8080")
		return nil, false
	}
	step := orDefault(source.AddressStep, stepHost)
	if step != stepHost && step != stepPort {
		b.doc.Report(key+".address_step", fmt.Sprintf("%q is not an address step", step), "write host or port")
		return nil, false
	}
	return func() string {
		current := address.String()
		if step == stepHost {
			address = netip.AddrPortFrom(address.Addr().Next(), address.Port())
		} else {
			address = netip.AddrPortFrom(address.Addr(), address.Port()+1)
		}
		return current
	}, true
}
