package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// forwarder passes UDP packets on, by flows that it knows from the sender's
// port. Flows open at a call of silence are dropped for good.
type forwarder struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mutex  sync.Mutex
	flows  map[string]*net.UDPConn
	silent map[string]bool
}

func startForwarder(t *testing.T, target string) *forwarder {
	address, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	f := &forwarder{socket: socket, target: address, flows: map[string]*net.UDPConn{}, silent: map[string]bool{}}
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
	if f.silent[key] {
		return nil
	}
	if f.flows[key] == nil {
		socket, err := net.DialUDP("udp", nil, f.target)
		if err != nil {
			return nil
		}
		f.flows[key] = socket
		go f.back(key, from, socket)
	}
	return f.flows[key]
}

func (f *forwarder) back(key string, to *net.UDPAddr, socket *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		f.mutex.Lock()
		silent := f.silent[key]
		f.mutex.Unlock()
		if !silent {
			_, _ = f.socket.WriteToUDP(buffer[:n], to)
		}
	}
}

func (f *forwarder) silence() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for key := range f.flows {
		f.silent[key] = true
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

// A flow between two nodes is forgotten by something between them, while new
// flows work. The link looks open, and questions through it would wait for
// QUIC's idle timeout. The request that finds it out ends as unknown; the next
// one goes through a new link from another port.
func TestASilentLinkIsReplaced(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "b", HandlerFunc(echo))
	f := startForwarder(t, server.Address())
	pool := startPool(t, authority, "a")
	news := make(chan LinkEvent, 64)
	pool.OnLink(func(one LinkEvent) { news <- one })
	target := Target{Node: "b", Address: f.socket.LocalAddr().String()}

	replies, _ := ask(pool, target)
	require.Nil(t, await(t, replies).failure)
	f.silence()
	replies, _ = ask(pool, target)
	lost := await(t, replies)
	require.NotNil(t, lost.failure)
	require.Equal(t, core.Unknown, lost.failure.Outcome)
	require.ErrorIs(t, lost.failure, errSilent)
	replies, _ = ask(pool, target)
	require.Nil(t, await(t, replies).failure)
	for one := range news {
		if one.State == LinkSilent {
			require.Equal(t, target, one.Peer)
			break
		}
	}
}

// An owner works long on a request. Its link is not silent: the peer's transport
// answers the check, so that nothing that runs is cut off.
func TestALinkWithSlowRepliesIsKept(t *testing.T) {
	authority := newAuthority(t)
	arrived := make(chan *Inbound, 1)
	server := startServer(t, authority, "b", HandlerFunc(func(inbound *Inbound) { arrived <- inbound }))
	pool := startPool(t, authority, "a")
	// The opening of the link is over with the first answer; what is heard silentAfter
	// after the second request can only be the answer to the check.
	opening, _ := ask(pool, Target{Node: "b", Address: server.Address()})
	echo(<-arrived)
	require.Nil(t, await(t, opening).failure)
	started := time.Now()
	replies, _ := ask(pool, Target{Node: "b", Address: server.Address()})
	inbound := <-arrived
	l := pool.snapshot()[0]
	require.Eventually(t, func() bool { return l.heardAt().Sub(started) >= silentAfter }, awaitLimit, watchEvery, "the check was answered")
	echo(inbound)
	require.Nil(t, await(t, replies).failure)
	require.Same(t, l, pool.snapshot()[0])
}

func (l *link) heardAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watch.heardAt
}
