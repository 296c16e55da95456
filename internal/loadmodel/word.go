package loadmodel

import (
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/condition"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// tellInterval is the interval at which nodes tell each other what they observe of replicas, as in the edge.
const tellInterval = 100 * time.Millisecond

// teller tells the other nodes what one node observes.
type teller struct {
	node     *node
	id       core.NodeID
	teller   *condition.Teller[replica.Incarnation]
	observed []condition.Observation[replica.Incarnation]
}

// startTellers lets all nodes tell each other what they observe of replicas.
func (s *simulation) startTellers() {
	if s.options.without(Word) {
		return
	}
	for i, n := range s.nodes {
		t := &teller{node: n, id: core.NodeID(strconv.Itoa(i)), teller: condition.NewTeller[replica.Incarnation]()}
		s.clock.after(tellInterval*time.Duration(i+1)/time.Duration(len(s.nodes)), t.step)
	}
}

func (t *teller) step() {
	s := t.node.simulation
	now := s.clock.now
	t.observed = t.node.outlook.Replicas.Observations(t.observed[:0], now)
	if news := t.teller.Step(now, t.observed); len(news) > 0 {
		s.clock.after(remoteDelay, func() { t.deliver(news) })
	}
	if now < s.pattern.Duration {
		s.clock.after(tellInterval, t.step)
	}
}

func (t *teller) deliver(news []condition.Observation[replica.Incarnation]) {
	s := t.node.simulation
	for _, other := range s.nodes {
		if other == t.node {
			continue
		}
		s.report.Told += len(news)
		for _, o := range news {
			other.outlook.Replicas.Receive(t.id, o.Replica, o.Condition, o.At, s.clock.now)
		}
	}
}
