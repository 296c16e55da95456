package owner

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// shard is one shard's machine with its queued requests and their attempts.
type shard struct {
	ref      core.ShardRef
	role     admit.Role
	machine  *admit.Shard
	requests map[admit.RequestID]*request
	attempts map[admit.AttemptID]*attempt
	// countedWaiting is the queue depth that is included in the metric.
	countedWaiting int
	// pastDeadlineLoggedAt is when part_past_deadline was last logged for this shard; 0 means never.
	pastDeadlineLoggedAt core.Time
	// retired is set if the shard is to be removed once it is idle.
	retired bool
	// overloaded is set while the shard is reported as overloaded.
	overloaded bool
}

// shard returns a shard, which is created on first use, or nil if the configuration
// does not list it.
func (l *loop) shard(cat *catalog.Catalog, ref core.ShardRef) *shard {
	if existing := l.shards[ref]; existing != nil {
		return existing
	}
	if cat.Shard(ref) == nil {
		return nil
	}
	created := &shard{ref: ref, requests: map[admit.RequestID]*request{}, attempts: map[admit.AttemptID]*attempt{}}
	created.machine = admit.NewShard(l.configure(cat, created))
	l.shards[ref] = created
	return created
}

// configure sets the connection limit of each replica and returns the configuration
// of the machine.
func (l *loop) configure(cat *catalog.Catalog, s *shard) admit.Config {
	service := cat.Services[s.ref.Service]
	listed := cat.Shard(s.ref)
	s.role = l.role(cat, listed.Bundle)
	share := admit.ConnectionShare(service.Connections, s.role, len(l.options.Belief.View().Nodes()))
	config := admit.Config{
		Service:    service.Name,
		Slots:      service.Slots,
		Share:      share,
		MaxQueue:   maxQueue,
		DataCentre: l.dataCentre(),
		Budget:     l.options.budget,
		Latency:    l.histogram(service.Name),
		Jitter:     l.jitter,
	}
	for _, replica := range listed.Replicas {
		l.limitConnections(s.ref, replica.Address, share)
		config.Replicas = append(config.Replicas, admit.ReplicaConfig{Address: replica.Address, DataCentre: replica.DataCentre, Draining: replica.Draining || l.options.Belief.Draining(replica.Address)})
	}
	return config
}

// limitConnections sets the connection limit of one replica. With a share of 0 the
// replica is not used.
func (l *loop) limitConnections(ref core.ShardRef, address string, share int) {
	l.options.Upstream.SetConnectionShare(address, share)
	if share > 0 {
		return
	}
	l.options.Problems.Report(observe.KindReplicaDown, observe.ReplicaSubject(ref, address), "the connection limit of the replica is too small to be shared between the nodes")
}

func (l *loop) role(cat *catalog.Catalog, id core.BundleID) admit.Role {
	if cat.Policy.Routing == catalog.RoutingDirect {
		return admit.RoleDirect
	}
	bundle := cat.Bundles[id]
	owner, known := l.options.Belief.View().Rank(id, bundle.DataCentre, 0)
	if known && owner.ID == l.options.Self {
		return admit.RoleOwner
	}
	return admit.RoleFallback
}

func (l *loop) dataCentre() string {
	self, _ := l.options.Belief.View().Node(l.options.Self)
	return self.DataCentre
}

// histogram returns the latency histogram that the shards of a service on this loop
// share.
func (l *loop) histogram(service string) *latency.Histogram {
	histogram := l.histograms[service]
	if histogram == nil {
		histogram = &latency.Histogram{}
		l.histograms[service] = histogram
	}
	return histogram
}

// reload applies the current configuration and view to all machines. Shards that the
// configuration no longer lists finish their running requests and are then removed.
// Idle shards that this node no longer owns are removed as well.
func (l *loop) reload() {
	config := l.options.Belief.Config()
	if config == nil {
		return
	}
	if config != l.applied {
		l.refuseRepartitioned(config.Catalog)
		l.applied = config
	}
	for _, s := range l.shards {
		s.retired = config.Catalog.Shard(s.ref) == nil
		if s.retired {
			l.step(s, admit.Reconfigured{})
			continue
		}
		l.step(s, admit.Reconfigured{Config: l.configure(config.Catalog, s)})
		if s.role == admit.RoleFallback && s.machine.Idle() {
			s.retired = true
			l.step(s, admit.Reconfigured{})
		}
	}
	for service := range l.histograms {
		if config.Catalog.Services[service] == nil {
			delete(l.histograms, service)
		}
	}
}

// forgetIfIdle removes a retired shard that is idle.
func (l *loop) forgetIfIdle(s *shard) {
	if !s.retired || !s.machine.Idle() {
		return
	}
	l.clearOverload(s)
	l.alarms.Clear(s.ref)
	l.overloadAlarms.Clear(s.ref)
	delete(l.shards, s.ref)
}

// forgetReplica closes the connections to a replica that the shard no longer uses.
// If the configuration now lists the address at another shard, the connections are
// kept, because that shard uses them.
func (l *loop) forgetReplica(s *shard, address string) {
	l.options.Problems.Clear(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, address))
	config := l.options.Belief.Config()
	if config != nil && !hasReplica(config.Catalog.Shard(s.ref), address) && listsReplica(config.Catalog, address) {
		return
	}
	l.options.Upstream.Remove(address)
}

func hasReplica(shard *catalog.Shard, address string) bool {
	return shard != nil && slices.ContainsFunc(shard.Replicas, func(r catalog.Replica) bool { return r.Address == address })
}

func listsReplica(cat *catalog.Catalog, address string) bool {
	for _, service := range cat.Services {
		for i := range service.Shards {
			if hasReplica(&service.Shards[i], address) {
				return true
			}
		}
	}
	return false
}
