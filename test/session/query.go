package session

import (
	"strconv"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// querySession drives one query. Header lines: "service NAME shards=N bundle=N
// needs=A,B", dependencies first, and "options" with the fields of query.Options.
type querySession struct {
	services []query.ServicePlan
	needs    []query.Need
	options  query.Options
	machine  *query.Machine
}

func newQuery() machine { return &querySession{} }

func (s *querySession) header(l line) error {
	switch l.word {
	case "options":
		return setFields(l, &s.options)
	case "service":
		return s.service(l)
	}
	return l.errorf("a query session has no header line %q", l.word)
}

func (s *querySession) service(l line) error {
	declared := struct {
		Shards int
		Bundle uint32
		Needs  []string
	}{Shards: 1}
	if err := setFields(l, &declared); err != nil {
		return err
	}
	index := len(s.services)
	service := query.ServicePlan{Name: l.name}
	for _, needed := range declared.Needs {
		dependency := s.find(needed)
		if dependency < 0 {
			return l.errorf("service %q is not declared above", needed)
		}
		service.DependsOn = append(service.DependsOn, dependency)
	}
	for shard := range declared.Shards {
		service.Shards = append(service.Shards, len(s.needs))
		s.needs = append(s.needs, query.Need{
			Ref:     core.ShardRef{Service: l.name, Shard: shard},
			Bundle:  core.BundleID(declared.Bundle),
			Service: index,
		})
	}
	s.services = append(s.services, service)
	return nil
}

func (s *querySession) find(service string) int {
	for i, plan := range s.services {
		if plan.Name == service {
			return i
		}
	}
	return -1
}

func (s *querySession) step(now time.Duration, l line) ([]any, error) {
	if s.machine == nil {
		s.machine = query.New(query.NewPlan(s.services, s.needs), s.options)
	}
	event, err := s.event(l)
	if err != nil {
		return nil, err
	}
	return anySlice(s.machine.Step(now, event)), nil
}

func (s *querySession) event(l line) (query.Event, error) {
	l, err := s.resolveShard(l)
	if err != nil {
		return nil, err
	}
	switch l.word {
	case "started":
		return query.Started{}, setFields(l, &query.Started{})
	case "part":
		var e query.PartArrived
		err := setFields(l, &e)
		return e, err
	case "part_failed":
		var e query.PartFailed
		err := setFields(l, &e)
		return e, err
	case "send_failed":
		var e query.SendFailed
		err := setFields(l, &e)
		return e, err
	case "woken":
		return query.Woken{}, setFields(l, &query.Woken{})
	case "cancelled":
		return query.Cancelled{}, setFields(l, &query.Cancelled{})
	}
	return nil, l.errorf("a query session has no event %q", l.word)
}

// resolveShard replaces shard=NAME/N with the need number that the machine uses.
func (s *querySession) resolveShard(l line) (line, error) {
	fields := append([]field(nil), l.fields...)
	for i, f := range fields {
		if f.key != "shard" {
			continue
		}
		number := -1
		for need := range s.needs {
			if s.needs[need].Ref.String() == f.value {
				number = need
			}
		}
		if number < 0 {
			return l, l.errorf("shard %s is not in the plan", f.value)
		}
		fields[i] = field{key: "need", value: strconv.Itoa(number)}
	}
	l.fields = fields
	return l, nil
}

func (s *querySession) displayName(field string, value any) (string, bool) {
	needs, ok := value.([]int)
	if field != "Needs" || !ok {
		return "", false
	}
	names := make([]string, 0, len(needs))
	for _, need := range needs {
		names = append(names, s.needs[need].Ref.String())
	}
	return strings.Join(names, ","), true
}
