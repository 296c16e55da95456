package session

import (
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/admit"
)

const drainingSuffix = ":draining"

// admitSession drives one shard's request queue on the owner node. Header line:
// "config" with slots, max_queue and replicas=a,b:draining; the event
// "reconfigured" takes the same fields.
type admitSession struct {
	config  admit.Config
	machine *admit.Shard
}

func newAdmit() machine { return &admitSession{} }

func (s *admitSession) header(l line) error {
	if l.word != "config" {
		return l.errorf("an admit session has no header line %q", l.word)
	}
	return s.configure(l)
}

// configure sets the given fields of the configuration; the others keep their values.
func (s *admitSession) configure(l line) error {
	others := l
	others.fields = nil
	for _, f := range l.fields {
		if f.key != "replicas" {
			others.fields = append(others.fields, f)
			continue
		}
		s.config.Replicas = nil
		for _, text := range strings.Split(f.value, ",") {
			address, draining := strings.CutSuffix(text, drainingSuffix)
			s.config.Replicas = append(s.config.Replicas, admit.ReplicaConfig{Address: address, Draining: draining})
		}
	}
	return setFields(others, &s.config)
}

func (s *admitSession) step(now time.Duration, l line) ([]any, error) {
	if s.machine == nil {
		s.machine = admit.NewShard(s.config)
	}
	event, err := s.event(l)
	if err != nil {
		return nil, err
	}
	return anySlice(s.machine.Step(now, event)), nil
}

func (s *admitSession) event(l line) (admit.Event, error) {
	switch l.word {
	case "offered":
		e := admit.Offered{Weight: 1}
		err := setFields(l, &e)
		return e, err
	case "withdrawn":
		var e admit.Withdrawn
		err := setFields(l, &e)
		return e, err
	case "try_ended":
		var e admit.TryEnded
		err := setFields(l, &e)
		return e, err
	case "drain_seen":
		var e admit.DrainSeen
		err := setFields(l, &e)
		return e, err
	case "reconfigured":
		err := s.configure(l)
		return admit.Reconfigured{Config: s.config}, err
	case "woken":
		return admit.Woken{}, setFields(l, &admit.Woken{})
	}
	return nil, l.errorf("an admit session has no event %q", l.word)
}

func (s *admitSession) displayName(string, any) (string, bool) { return "", false }
