package session

import (
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// configSession drives one node's configuration machine. It has no header lines.
// Events: ask_peers peers=a,b; service_text and peer_text with revision, digest and
// valid; peer_says with peer, revision and digest; peer_failed with peer; confirm,
// service_answered, service_failed and tick. A line "in_force" prints the revision
// and digest in force at that time.
type configSession struct{ machine *config.Machine }

func newConfig() machine { return &configSession{} }

func (s *configSession) header(l line) error {
	return l.errorf("a config session has no header line %q", l.word)
}

// configFields are the fields that a config session's events may carry.
type configFields struct {
	Peers    []string
	Peer     string
	Revision uint64
	Digest   uint64
	Valid    bool
}

// InForce is printed like an action and holds the mark in force.
type InForce struct{ Mark config.Mark }

func (s *configSession) step(now time.Duration, l line) ([]any, error) {
	if s.machine == nil {
		s.machine = config.New(now)
	}
	fields := configFields{Valid: true}
	if err := setFields(l, &fields); err != nil {
		return nil, err
	}
	if l.word == "in_force" {
		return []any{InForce{Mark: s.machine.InForce()}}, nil
	}
	actions, known := s.event(now, l.word, fields)
	if !known {
		return nil, l.errorf("a config session has no event %q", l.word)
	}
	return withProblemNames(actions), nil
}

// Report and Clear are the machine's actions with the problem's name instead of
// its number.
type (
	Report struct{ Problem, Detail string }
	Clear  struct{ Problem string }
)

// withProblemNames replaces the problems' numbers with names: the first number is
// 0, and zero fields are not printed.
func withProblemNames(actions []config.Action) []any {
	list := make([]any, 0, len(actions))
	for _, action := range actions {
		switch a := action.(type) {
		case config.Report:
			list = append(list, Report{Problem: problemNames[a.Problem], Detail: a.Detail})
		case config.Clear:
			list = append(list, Clear{Problem: problemNames[a.Problem]})
		default:
			list = append(list, action)
		}
	}
	return list
}

func (s *configSession) event(now time.Duration, word string, fields configFields) ([]config.Action, bool) {
	mark := config.Mark{Revision: fields.Revision, Digest: fields.Digest}
	peer := core.NodeID(fields.Peer)
	switch word {
	case "ask_peers":
		return s.machine.AskPeers(now, nodesByName(fields.Peers)), true
	case "service_text":
		return s.machine.Offer(now, newReading(mark, config.FromService, fields.Valid)), true
	case "peer_text":
		return s.machine.Offer(now, newReading(mark, config.FromPeer, fields.Valid)), true
	case "peer_says":
		return s.machine.PeerReported(now, peer, mark), true
	case "peer_failed":
		return s.machine.PeerFailed(now, peer), true
	case "confirm":
		return s.machine.Confirm(now), true
	case "service_answered":
		return s.machine.ServiceAnswered(now), true
	case "service_failed":
		return s.machine.ServiceFailed(now), true
	case "tick":
		return s.machine.Tick(now), true
	}
	return nil, false
}

func nodesByName(names []string) []route.Node {
	nodes := make([]route.Node, 0, len(names))
	for _, name := range names {
		nodes = append(nodes, route.Node{ID: core.NodeID(name)})
	}
	return nodes
}

func newReading(mark config.Mark, source config.Source, valid bool) *config.Reading {
	r := &config.Reading{Mark: mark, Source: source}
	if valid {
		r.Catalog = &catalog.Catalog{}
	} else {
		r.Fault = "not a valid text"
	}
	return r
}

// problemNames holds the problems' names in session output.
var problemNames = map[config.Problem]string{
	config.ProblemRefused:  "refused",
	config.ProblemConflict: "conflict",
	config.ProblemStale:    "stale",
	config.ProblemOlder:    "older",
}

func (s *configSession) displayName(_ string, value any) (string, bool) {
	if r, ok := value.(*config.Reading); ok {
		return fmt.Sprintf("revision:%d/digest:%d", r.Mark.Revision, r.Mark.Digest), true
	}
	return "", false
}
