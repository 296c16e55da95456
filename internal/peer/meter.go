package peer

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/traffic"
)

// Meter counts the bytes sent to a node, and for traffic.Links also those received from it. It
// must not block.
type Meter func(node core.NodeID, purpose traffic.Purpose, bytes int)

// meter holds a Meter that can be set while links are open.
type meter struct{ report atomic.Pointer[Meter] }

func (m *meter) set(report Meter) { m.report.Store(&report) }

func (m *meter) countBytes(node core.NodeID, purpose traffic.Purpose, bytes int) {
	if report := m.report.Load(); report != nil && bytes > 0 {
		(*report)(node, purpose, bytes)
	}
}

// messageCounter returns a function that counts the messages written to a node.
func (m *meter) messageCounter(node core.NodeID) func(*peerpb.Envelope, int) {
	return func(envelope *peerpb.Envelope, bytes int) { m.countBytes(node, purposeOf(envelope), bytes) }
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

// OnBytes sets the Meter for the traffic with peers.
func (p *Pool) OnBytes(report Meter) { p.meter.set(report) }

// OnBytes sets the Meter for the messages sent to peers.
func (s *Server) OnBytes(report Meter) { s.meter.set(report) }

// trafficSample is a link's connection and the number of bytes that it had carried
// at the last sample.
type trafficSample struct {
	connection *quic.Conn
	bytes      uint64
}

// sampleTraffic counts the bytes that the link has carried since the last sample.
func (l *link) sampleTraffic() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.traffic.connection == nil {
		return
	}
	stats := l.traffic.connection.ConnectionStats()
	now := stats.BytesSent + stats.BytesReceived
	l.pool.meter.countBytes(l.target.Node, traffic.Links, int(now-l.traffic.bytes))
	l.traffic.bytes = now
}

// startSampling sets the connection to sample.
func (l *link) startSampling(connection *quic.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.traffic = trafficSample{connection: connection}
}
