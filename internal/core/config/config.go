// Package config decides which revision of the operators' text a node has in
// force, whom it asks for newer ones, and what differs between two texts.
package config

import (
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Mark identifies a text: its revision, and its digest to tell two texts under
// one revision apart. The zero value stands for no text.
type Mark struct {
	// Revision is a place (package era): it rises over eras of the service.
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Supersedes reports whether a valid text so marked replaces one marked other. Of
// two texts under one revision the greater digest wins: any order does, if all
// nodes compute the same one, whichever text they saw first.
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

// Source says where a reading comes from.
type Source uint8

// The sources.
const (
	FromService Source = iota
	FromPeer
	// FromPeerRefusal is a peer's word that it refused a text, without the text.
	FromPeerRefusal
)

// Reading is a text read from the service or received from a peer. Catalog is
// nil when the text is invalid; Fault says why then.
type Reading struct {
	Mark    Mark
	Source  Source
	Text    []byte
	Catalog *catalog.Catalog
	Fault   string
}

// Problem is a condition of the configuration that operators should see.
type Problem uint8

// The problems.
const (
	// ProblemRefused: a revision is invalid, the former stays in force.
	ProblemRefused Problem = iota
	// ProblemConflict: two texts carry one revision.
	ProblemConflict
	// ProblemStale: nobody has confirmed the revision for long.
	ProblemStale
	// ProblemOlder: the service offers an older revision than is in force.
	ProblemOlder
)

// Action is something that the machine wants done.
type Action interface{ action() }

// Adopt puts a reading in force.
type Adopt struct{ Reading *Reading }

// Fetch asks a peer for its text, which is above the one at hand.
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
