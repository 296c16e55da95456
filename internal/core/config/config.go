// Package config decides which revision of the operators' text a node has in force, which nodes it
// polls for newer ones, and which edits turn one text into another.
package config

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Mark identifies a text by its revision and by its digest, which distinguishes two texts under one
// revision. The zero value stands for no text.
type Mark struct {
	// Revision is a place (package era): it rises across eras of the service.
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Supersedes reports whether a valid text with this mark replaces a text with the other mark. Of
// two texts under one revision the greater digest wins, so that all nodes choose the same text,
// whichever they read first.
func (m Mark) Supersedes(other Mark) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Digest > other.Digest
}

// conflicts reports whether two different texts carry one revision.
func (m Mark) conflicts(other Mark) bool {
	return m.Revision == other.Revision && m.Digest != other.Digest
}

// Source is the origin of a reading.
type Source uint8

// The sources.
const (
	FromService Source = iota
	FromPeer
	// FromPeerRefusal is a peer's report that it refused a text, without the text.
	FromPeerRefusal
)

// Reading is a text read from the service or received from a peer. Catalog is nil when the text is
// invalid, and Fault then holds the reason.
type Reading struct {
	Mark    Mark
	Source  Source
	Text    []byte
	Catalog *catalog.Catalog
	Fault   string
}

// Problem is a condition of the configuration to be shown to operators.
type Problem uint8

// The problems.
const (
	// ProblemRefused: a revision is invalid, and the former stays in force.
	ProblemRefused Problem = iota
	// ProblemConflict: two texts carry one revision.
	ProblemConflict
	// ProblemStale: the revision was not confirmed for longer than StaleAfter.
	ProblemStale
	// ProblemOlder: the service offers an older revision than the one in force.
	ProblemOlder
)

// Action is an output of the Machine, for its caller to carry out.
type Action interface{ action() }

// Adopt puts a reading in force.
type Adopt struct{ Reading *Reading }

// Fetch requests the text of a peer that has one superseding the text at hand.
type Fetch struct{ Peer core.NodeID }

// Report raises or renews a problem.
type Report struct {
	Problem Problem
	Detail  string
}

// Clear ends a problem.
type Clear struct{ Problem Problem }

func (Adopt) action()  {}
func (Fetch) action()  {}
func (Report) action() {}
func (Clear) action()  {}
