package catalog

import (
	"fmt"
	"net/netip"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// group writes out the like services of a group. With lead, the first service
// carries the group's name and depends on all the others.
func (b *builder) group(key string, written *groupText) {
	services := b.count(key+".services", written.Services, 1)
	shards := b.count(key+".shards", written.Shards, 1)
	replicas := b.count(key+".replicas", written.Replicas, 1)
	b.between(key+".services", services, 1, maxGroupServices)
	b.between(key+".shards", shards, 1, maxShardsPerService)
	b.between(key+".replicas", replicas, 1, maxReplicasPerShard)
	if b.doc.Err() == nil && len(b.addresses)+services*shards*replicas > maxReplicas {
		b.doc.Report(key+".services", fmt.Sprintf("%d services of %d shards of %d replicas are more than a text's %d replicas", services, shards, replicas, maxReplicas), "lower services, shards or replicas")
	}
	next, ok := b.addressSequence(key, written)
	if !ok || b.doc.Err() != nil {
		return
	}
	names := groupNames(written, services)
	b.groups[written.Name] = names
	for i, name := range names {
		service := b.newService(key, name, written.commonText)
		service.Shards = b.groupShards(key, name, rotate(written.DataCentres, i), shards, replicas, next)
		if written.Lead && i == 0 {
			service.DependsOn = append(service.DependsOn, names[1:]...)
		}
		b.add(key, service)
	}
}

func groupNames(written *groupText, services int) []string {
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%02d", written.Name, i+1)
	}
	if written.Lead || services == 1 {
		names[0] = written.Name
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
			b.address(key+".first_address", replica.Address)
			list[i].Replicas = append(list[i].Replicas, replica)
		}
	}
	return list
}

// rotate starts the list at the given place, so that the first replicas of
// like services are spread over the data centres.
func rotate(dataCentres []string, start int) []string {
	if len(dataCentres) == 0 {
		return nil
	}
	start %= len(dataCentres)
	return append(append([]string(nil), dataCentres[start:]...), dataCentres[:start]...)
}

// addressSequence returns the generator of a group's replica addresses: the
// host or the port goes up by one each time.
func (b *builder) addressSequence(key string, written *groupText) (func() string, bool) {
	address, err := netip.ParseAddrPort(written.FirstAddress)
	if err != nil {
		b.doc.Report(key+".first_address", fmt.Sprintf("%q is not IP:PORT", written.FirstAddress), "write the first replica's address, such as 10.1.0.7:8080")
		return nil, false
	}
	step := orDefault(written.AddressStep, stepHost)
	if step != stepHost && step != stepPort {
		b.doc.Report(key+".address_step", fmt.Sprintf("%q is not a step", step), "write host or port")
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
