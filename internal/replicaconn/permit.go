package replicaconn

import "sync/atomic"

// Permit decides once and for all whether a request may be sent. Either Do uses it before it writes the first byte, or
// it is revoked and nothing is ever written.
type Permit struct{ state atomic.Uint32 }

// The states of a permit. It leaves permitOpen once.
const (
	permitOpen = iota
	permitUsed
	permitRevoked
)

// use takes the permit for sending; nil always permits.
func (p *Permit) use() bool { return p == nil || p.state.CompareAndSwap(permitOpen, permitUsed) }

// Revoke reports whether nothing of the request was sent and nothing will be.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitOpen, permitRevoked) || p.state.Load() == permitRevoked
}
