package peer

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
)

// Meter is told the bytes that went to a node, or for traffic.Links also came from it. It must not
// block.
type Meter func(node core.NodeID, purpose traffic.Purpose, bytes int)

// meter holds a Meter that may be set while links are open.
type meter struct{ told atomic.Pointer[Meter] }

func (m *meter) set(told Meter) { m.told.Store(&told) }

func (m *meter) add(node core.NodeID, purpose traffic.Purpose, bytes int) {
	if told := m.told.Load(); told != nil && bytes > 0 {
		(*told)(node, purpose, bytes)
	}
}

// message is the counting of messages written to a node.
func (m *meter) message(node core.NodeID) func(*peerpb.Envelope, int) {
	return func(envelope *peerpb.Envelope, bytes int) { m.add(node, purposeOf(envelope), bytes) }
}

func purposeOf(envelope *peerpb.Envelope) traffic.Purpose {
	switch envelope.GetBody().(type) {
	case *peerpb.Envelope_Heartbeat:
		return traffic.Heartbeats
	case *peerpb.Envelope_MirrorRequest, *peerpb.Envelope_MirrorReply:
		return traffic.Copies
	case *peerpb.Envelope_DelegateRequest, *peerpb.Envelope_DelegateReply:
		return traffic.Delegated
	default:
		return traffic.Other
	}
}

// OnBytes sets who is told what is sent to peers.
func (p *Pool) OnBytes(told Meter) { p.meter.set(told) }

// OnBytes sets who is told what is sent to peers.
func (s *Server) OnBytes(told Meter) { s.meter.set(told) }

// sampled is what a link's connection had carried when it was last looked at.
type sampled struct {
	connection *quic.Conn
	bytes      uint64
}

// sample tells what a link has carried since the last time.
func (l *link) sample() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.carried.connection == nil {
		return
	}
	stats := l.carried.connection.ConnectionStats()
	now := stats.BytesSent + stats.BytesReceived
	l.pool.meter.add(l.target.Node, traffic.Links, int(now-l.carried.bytes))
	l.carried.bytes = now
}

// carries makes a connection the one that is sampled.
func (l *link) carries(connection *quic.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.carried = sampled{connection: connection}
}
