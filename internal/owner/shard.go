package owner

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// shard is one shard's machine with the messages behind its requests.
type shard struct {
	ref      core.ShardRef
	role     admit.Role
	machine  *admit.Shard
	requests map[admit.RequestID]*request
	tries    map[admit.AttemptID]*running
	// waiting is the queue's depth as it was last counted in the metrics.
	waiting int
	// pastDeadlineLoggedAt is when part_past_deadline was last logged for this shard; 0 means never.
	pastDeadlineLoggedAt core.Time
	// retired is set when the shard is to be forgotten once it is idle.
	retired bool
	// overloaded is set while the problem stands in the register.
	overloaded bool
}

// shard returns the shard's machine, made on first use, or nil when the text
// does not know the shard.
func (l *loop) shard(text *catalog.Catalog, ref core.ShardRef) *shard {
	if existing := l.shards[ref]; existing != nil {
		return existing
	}
	if text.Shard(ref) == nil {
		return nil
	}
	created := &shard{ref: ref, requests: map[admit.RequestID]*request{}, tries: map[admit.AttemptID]*running{}}
	created.machine = admit.NewShard(l.configure(text, created))
	l.shards[ref] = created
	return created
}

// configure gives each replica its share of connections and returns the
// machine's configuration.
func (l *loop) configure(text *catalog.Catalog, s *shard) admit.Config {
	service := text.Services[s.ref.Service]
	written := text.Shard(s.ref)
	s.role = l.role(text, written.Bundle)
	share := admit.ConnectionShare(service.Connections, s.role, len(l.options.Belief.View().Nodes()))
	config := admit.Config{
		Service:    service.Name,
		Slots:      service.Slots,
		Share:      share,
		MaxQueue:   maxQueue,
		DataCentre: l.dataCentre(),
		Budget:     l.options.budget,
		Latency:    l.latency(service.Name),
		Jitter:     l.jitter,
	}
	for _, replica := range written.Replicas {
		l.limit(s.ref, replica.Address, share)
		config.Replicas = append(config.Replicas, admit.ReplicaConfig{Address: replica.Address, DataCentre: replica.DataCentre, Draining: replica.Draining || l.options.Belief.Draining(replica.Address)})
	}
	return config
}

// limit sets the connections to one replica. With a share of 0 it is not used.
func (l *loop) limit(ref core.ShardRef, address string, share int) {
	l.options.Upstream.SetConnectionShare(address, share)
	if share > 0 {
		return
	}
	l.options.Problems.Report(observe.KindReplicaDown, observe.ReplicaSubject(ref, address), "its connection limit is too small to be shared between nodes")
}

func (l *loop) role(text *catalog.Catalog, id core.BundleID) admit.Role {
	if text.Policy.Routing == catalog.RoutingDirect {
		return admit.RoleDirect
	}
	bundle := text.Bundles[id]
	first, known := l.options.Belief.View().Rank(id, bundle.DataCentre, 0)
	if known && first.ID == l.options.Self {
		return admit.RoleOwner
	}
	return admit.RoleFallback
}

func (l *loop) dataCentre() string {
	self, _ := l.options.Belief.View().Node(l.options.Self)
	return self.DataCentre
}

// latency returns the histogram that the service's shards of this loop share.
func (l *loop) latency(service string) *latency.Histogram {
	learnt := l.latencies[service]
	if learnt == nil {
		learnt = &latency.Histogram{}
		l.latencies[service] = learnt
	}
	return learnt
}

// reload brings every machine up to the present text and view. Shards that the
// text no longer lists, and idle ones that this node no longer owns, finish what
// they run and are forgotten.
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
	for service := range l.latencies {
		if config.Catalog.Services[service] == nil {
			delete(l.latencies, service)
		}
	}
}

// forgetIdle drops a retired shard that has nothing left to do.
func (l *loop) forgetIdle(s *shard) {
	if !s.retired || !s.machine.Idle() {
		return
	}
	l.calm(s)
	l.alarms.Clear(s.ref)
	l.calms.Clear(s.ref)
	delete(l.shards, s.ref)
}

// forgetReplica closes the connections to a replica that this node no longer
// needs. An address that the text has moved to another shard is left alone: its
// connections are that shard's by now.
func (l *loop) forgetReplica(s *shard, address string) {
	l.options.Problems.Clear(observe.KindReplicaDown, observe.ReplicaSubject(s.ref, address))
	config := l.options.Belief.Config()
	if config != nil && !has(config.Catalog.Shard(s.ref), address) && listed(config.Catalog, address) {
		return
	}
	l.options.Upstream.Remove(address)
}

func has(written *catalog.Shard, address string) bool {
	return written != nil && slices.ContainsFunc(written.Replicas, func(r catalog.Replica) bool { return r.Address == address })
}

func listed(text *catalog.Catalog, address string) bool {
	for _, service := range text.Services {
		for i := range service.Shards {
			if has(&service.Shards[i], address) {
				return true
			}
		}
	}
	return false
}
