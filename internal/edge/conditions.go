package edge

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// conditionInterval is the interval at which changes of the replicas' conditions are told to the other entries.
const conditionInterval = 100 * time.Millisecond

// conditionTeller tells the other entries what this node observes of replicas. Only the nodes that callers are sent to
// take part, because the others choose no replicas.
type conditionTeller struct {
	node   *Node
	teller *condition.Teller[replica.Incarnation]
	// observed is the buffer of the last observations; entries are those of the last step.
	observed []condition.Observation[replica.Incarnation]
	entries  map[core.NodeID]bool
}

func newConditionTeller(n *Node) *conditionTeller {
	return &conditionTeller{node: n, teller: condition.NewTeller[replica.Incarnation]()}
}

// tellConditions tells changes until the node ends.
func (n *Node) tellConditions() {
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	teller := newConditionTeller(n)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			teller.step()
		}
	}
}

// step tells what has changed, and everything that still counts to nodes that have become entries.
func (c *conditionTeller) step() {
	others, isEntry := c.otherEntries()
	if !isEntry {
		c.entries = nil
		return
	}
	var now core.Time
	c.node.state.withReplicas(func(table *replica.Table, at core.Time) {
		now = at
		c.observed = table.Observations(c.observed[:0], at)
	})
	news := c.teller.Step(now, c.observed)
	var current []condition.Observation[replica.Incarnation]
	known := c.entries
	c.entries = make(map[core.NodeID]bool, len(others))
	for _, entry := range others {
		c.entries[entry.ID] = true
		told := news
		if !known[entry.ID] {
			if current == nil {
				current = c.teller.Current(now)
			}
			told = current
		}
		if len(told) > 0 {
			c.send(entry, encodeConditions(told, now))
		}
	}
}

// otherEntries returns the entries other than this node, and whether this node is one.
func (c *conditionTeller) otherEntries() (others []route.Node, isEntry bool) {
	for _, entry := range c.node.currentEntries() {
		if entry.ID == c.node.identity.Node {
			isEntry = true
			continue
		}
		others = append(others, entry)
	}
	return others, isEntry
}

// send sends without waiting for the reply: what is lost is told again while it holds.
func (c *conditionTeller) send(to route.Node, message *peerpb.ReplicaConditions) {
	c.node.metrics.countConditionsTold(len(message.GetConditions()))
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_ReplicaConditions{ReplicaConditions: message}}
	c.node.peerPool.Send(peer.Target{Node: to.ID, Address: to.PeerAddress}, envelope, func(*peerpb.Envelope, *peer.LinkError) {})
}

// percent is the unit of ratios and shares in messages.
const percent = 100

func encodeConditions(observed []condition.Observation[replica.Incarnation], now core.Time) *peerpb.ReplicaConditions {
	message := &peerpb.ReplicaConditions{Conditions: make([]*peerpb.ReplicaCondition, 0, len(observed))}
	for _, o := range observed {
		message.Conditions = append(message.Conditions, &peerpb.ReplicaCondition{
			Replica: o.Replica.ID, Born: o.Replica.Born, SlownessPercent: toPercent(o.Slowness), RefusedPercent: toPercent(o.Refused), FailedPercent: toPercent(o.Failed),
			Unreachable: o.Unreachable, AgeMs: uint32(max(now-o.At, 0).Milliseconds()),
		})
	}
	return message
}

func toPercent(ratio float64) uint32 { return uint32(math.Round(max(ratio, 0) * percent)) }

// Bounds on what another node may state.
const (
	maxToldSlowness = 10.0
	maxToldShare    = 1.0
)

// decodeCondition decodes a condition and its age. It returns false for one that no longer counts.
func decodeCondition(in *peerpb.ReplicaCondition) (told condition.Condition, age time.Duration, ok bool) {
	age = time.Duration(in.GetAgeMs()) * time.Millisecond
	told = condition.Condition{
		Slowness: 1, Refused: min(float64(in.GetRefusedPercent())/percent, maxToldShare), Failed: min(float64(in.GetFailedPercent())/percent, maxToldShare), Unreachable: in.GetUnreachable(),
	}
	if stated := in.GetSlownessPercent(); stated > 0 {
		told.Slowness = min(float64(stated)/percent, maxToldSlowness)
	}
	return told, age, age < condition.TTL
}

// handleConditions takes what another entry has observed. Conditions of replicas or incarnations that are not listed
// here are left out.
func (n *Node) handleConditions(inbound *peer.Inbound) {
	stated := inbound.Envelope.GetReplicaConditions().GetConditions()
	stated = stated[:min(len(stated), condition.MaxBatch)]
	n.metrics.countConditionsReceived(len(stated))
	for _, in := range stated {
		n.receiveCondition(inbound.From.Node, in)
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_ReplicaConditions{ReplicaConditions: &peerpb.ReplicaConditions{}}}, true)
}

func (n *Node) receiveCondition(from core.NodeID, in *peerpb.ReplicaCondition) {
	told, age, ok := decodeCondition(in)
	if !ok || from == n.identity.Node {
		return
	}
	incarnation := replica.Incarnation{ID: in.GetReplica(), Born: in.GetBorn()}
	first := false
	var service string
	n.state.withReplicas(func(table *replica.Table, now core.Time) {
		first = table.Receive(from, incarnation, told, now-age, now)
		known, _ := table.Get(incarnation.ID)
		service = known.Service
	})
	if first {
		n.log.Decision("replica_believed", decisionlog.Fields{
			"replica": incarnation.ID, "service": service, "from": from, "slowness": told.Slowness, "refused": told.Refused, "failed": told.Failed, "unreachable": told.Unreachable, "observed_ms_ago": age.Milliseconds(),
		})
	}
}

// believedReplica describes to operators a replica that is believed to be in an unusual condition.
type believedReplica struct {
	Replica     string  `json:"replica"`
	Service     string  `json:"service"`
	Slowness    float64 `json:"slowness"`
	Refused     float64 `json:"refused"`
	Failed      float64 `json:"failed"`
	Unreachable bool    `json:"unreachable"`
	// From names the other nodes by whose word; it is empty if only this node has observed it.
	From []core.NodeID `json:"from,omitempty"`
}

// unusualReplicas lists the replicas that are believed to be in an unusual condition.
func (n *Node) unusualReplicas() []believedReplica {
	list := []believedReplica{}
	n.state.withReplicas(func(table *replica.Table, now core.Time) {
		for _, b := range table.Unusual(now) {
			list = append(list, believedReplica{Replica: b.Replica, Service: b.Service, Slowness: b.Slowness, Refused: b.Refused, Failed: b.Failed, Unreachable: b.Unreachable, From: b.Sources})
		}
	})
	return list
}
