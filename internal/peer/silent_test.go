package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// forwarder forwards UDP packets by flows, identified by the sender's address.
// dropOpenFlows makes it drop all further packets of the flows open at that time.
type forwarder struct {
	socket  *net.UDPConn
	target  *net.UDPAddr
	mutex   sync.Mutex
	flows   map[string]*net.UDPConn
	dropped map[string]bool
}

func startForwarder(t *testing.T, target string) *forwarder {
	address, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	f := &forwarder{socket: socket, target: address, flows: map[string]*net.UDPConn{}, dropped: map[string]bool{}}
	t.Cleanup(f.close)
	go f.run()
	return f
}

func (f *forwarder) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if flow := f.flow(from); flow != nil {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

func (f *forwarder) flow(from *net.UDPAddr) *net.UDPConn {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	key := from.String()
	if f.dropped[key] {
		return nil
	}
	if f.flows[key] == nil {
		socket, err := net.DialUDP("udp", nil, f.target)
		if err != nil {
			return nil
		}
		f.flows[key] = socket
		go f.forwardReplies(key, from, socket)
	}
	return f.flows[key]
}

func (f *forwarder) forwardReplies(key string, to *net.UDPAddr, socket *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		f.mutex.Lock()
		dropped := f.dropped[key]
		f.mutex.Unlock()
		if !dropped {
			_, _ = f.socket.WriteToUDP(buffer[:n], to)
		}
	}
}

func (f *forwarder) dropOpenFlows() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for key := range f.flows {
		f.dropped[key] = true
	}
}

func (f *forwarder) close() {
	_ = f.socket.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, socket := range f.flows {
		_ = socket.Close()
	}
}

// Guards against waiting for QUIC's idle timeout when a device between two nodes
// loses track of a flow: its packets are dropped while new flows work and the link
// looks open. The request that detects this ends as unknown; the next one uses a
// new link from another port.
func TestASilentLinkIsReplaced(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "b", HandlerFunc(echo))
	f := startForwarder(t, server.Address())
	pool := startPool(t, authority, "a")
	events := make(chan LinkEvent, 64)
	pool.OnLink(func(event LinkEvent) { events <- event })
	target := Target{Node: "b", Address: f.socket.LocalAddr().String()}

	replies, _ := sendHeartbeat(pool, target)
	require.Nil(t, await(t, replies).failure)
	f.dropOpenFlows()
	replies, _ = sendHeartbeat(pool, target)
	lost := await(t, replies)
	require.NotNil(t, lost.failure)
	require.Equal(t, core.Unknown, lost.failure.Outcome)
	require.ErrorIs(t, lost.failure, errSilent)
	replies, _ = sendHeartbeat(pool, target)
	require.Nil(t, await(t, replies).failure)
	for event := range events {
		if event.State == LinkSilent {
			require.Equal(t, target, event.Peer)
			break
		}
	}
}

// Guards against replacing a link while the owner works long on a request. The
// peer's transport answers the liveness check, so that running requests go on.
func TestALinkWithSlowRepliesIsKept(t *testing.T) {
	authority := newAuthority(t)
	arrived := make(chan *Inbound, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(inbound *Inbound) { arrived <- inbound }))
	pool := startPool(t, authority, "a")
	// The first reply shows that the link is open; a message that arrives silenceTimeout
	// after the second request or later can only be the reply to the check.
	opening, _ := sendHeartbeat(pool, Target{Node: "b", Address: server.Address()})
	echo(<-arrived)
	require.Nil(t, await(t, opening).failure)
	started := time.Now()
	replies, _ := sendHeartbeat(pool, Target{Node: "b", Address: server.Address()})
	inbound := <-arrived
	l := pool.snapshot()[0]
	require.Eventually(t, func() bool { return l.lastReceivedTime().Sub(started) >= silenceTimeout }, awaitLimit, watchInterval, "the check was answered")
	echo(inbound)
	require.Nil(t, await(t, replies).failure)
	require.Same(t, l, pool.snapshot()[0])
}

func (l *link) lastReceivedTime() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.liveness.lastReceivedAt
}
