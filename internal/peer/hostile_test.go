package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// Numbers that a newer version of the messages may use.
const (
	newField = 900
	newBody  = 901
)

var mirror = HandlerFunc(func(inbound *Inbound) {
	if inbound.Envelope.GetBody() == nil {
		inbound.Reply(NewRefusal(core.ReasonNotAsked), true)
		return
	}
	inbound.Reply(&peerpb.Envelope{Body: inbound.Envelope.GetBody()}, true)
})

// newer adds what a newer node might: a field unknown here.
func newer(envelope *peerpb.Envelope, number protowire.Number) *peerpb.Envelope {
	unknown := protowire.AppendTag(nil, number, protowire.BytesType)
	envelope.ProtoReflect().SetUnknown(protowire.AppendString(unknown, "from the future"))
	return envelope
}

// During a rolling replacement of all VMs a newer node talks to an older one.
// Fields that the older one does not know must not end the stream, and a request
// of an unknown kind must get a refusal, not silence.
func TestNewerMessagesAreTolerated(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", mirror)
	pool := startPool(t, authority, "b")
	target := Target{Node: "a", Address: server.Address()}
	asked := func(envelope *peerpb.Envelope) received {
		replies := make(chan received, 1)
		pool.Send(target, envelope, func(reply *peerpb.Envelope, failure *LinkError) { replies <- received{reply, failure} })
		return await(t, replies)
	}
	heartbeat := &peerpb.Heartbeat{Node: "b"}
	withField := newer(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}, newField)
	require.Equal(t, "b", asked(withField).reply.GetHeartbeat().GetNode())
	unknownBody := newer(&peerpb.Envelope{}, newBody)
	require.Equal(t, string(core.ReasonNotAsked), asked(unknownBody).reply.GetRefusal().GetReason())
	again := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}
	require.Equal(t, "b", asked(again).reply.GetHeartbeat().GetNode())
}

// Something on the network sends garbage to the peer port. Nodes that ask in
// between must not notice.
func TestGarbageOnThePeerPortDisturbsNobody(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", mirror)
	pool := startPool(t, authority, "b")
	noise, err := net.Dial("udp", server.Address())
	require.NoError(t, err)
	defer func() { _ = noise.Close() }()
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		packet := make([]byte, 1+random.IntN(1400))
		for j := range packet {
			packet[j] = byte(random.Uint32())
		}
		_, err := noise.Write(packet)
		require.NoError(t, err)
		if i%100 == 0 {
			replies, _ := ask(pool, Target{Node: "a", Address: server.Address()})
			require.Nil(t, await(t, replies).failure)
		}
	}
	replies, _ := ask(pool, Target{Node: "a", Address: server.Address()})
	require.Nil(t, await(t, replies).failure)
}

// dialRaw opens a QUIC connection by hand and waits for its end.
func dialRaw(t *testing.T, server *Server, config *tls.Config) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	connection, err := quic.DialAddr(ctx, server.Address(), config, quicConfig())
	if err != nil {
		return err
	}
	// The server judges the client's certificate after the client is done with
	// its own part of the handshake.
	stream, err := connection.AcceptStream(ctx)
	require.Nil(t, stream)
	return err
}

func TestStrangersAreRefused(t *testing.T) {
	server := startServer(t, newAuthority(t), "a", mirror)
	plain := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{keys.ProtocolName}, MinVersion: tls.VersionTLS13}
	require.ErrorContains(t, dialRaw(t, server, plain), "certificate required")
	stranger, err := newAuthority(t).Issue("b", time.Now(), time.Hour)
	require.NoError(t, err)
	certificate, err := tls.X509KeyPair(stranger.Certificate, stranger.Key)
	require.NoError(t, err)
	plain.Certificates = []tls.Certificate{certificate}
	require.ErrorContains(t, dialRaw(t, server, plain), "unknown certificate authority")
}

// A node is given the certificates of another fleet. Its requests must fail as
// not run, with a cause that names the authority.
func TestAnotherFleetsNodeIsRefusedWithAClearCause(t *testing.T) {
	server := startServer(t, newAuthority(t), "a", mirror)
	pool := startPool(t, newAuthority(t), "b")
	broken := make(chan error, 1)
	pool.OnBroken(func(_ Target, cause error) { broken <- cause })
	replies, _ := ask(pool, Target{Node: "a", Address: server.Address()})
	failure := await(t, replies).failure
	require.Equal(t, core.NotRun, failure.Outcome)
	require.ErrorContains(t, failure, "unknown authority")
	require.ErrorContains(t, <-broken, "unknown authority")
}

// FuzzEnvelope feeds bytes to the reader of peer messages: it fails or gives a
// message that survives being written again, unknown fields included.
func FuzzEnvelope(f *testing.F) {
	for _, envelope := range []*peerpb.Envelope{
		helloEnvelope(Identity{Node: "a", Incarnation: 1}),
		newer(&peerpb.Envelope{Id: 7, Last: true}, newBody),
		newer(NewRefusal(core.ReasonNotOwner), newField),
		{Id: 1, Body: &peerpb.Envelope_BundleRequest{BundleRequest: &peerpb.BundleRequest{Customer: "c", Asks: []*peerpb.ShardAsk{{Service: "s"}}}}},
	} {
		var seed bytes.Buffer
		_, err := protodelim.MarshalTo(&seed, envelope)
		require.NoError(f, err)
		f.Add(seed.Bytes())
		f.Add(seed.Bytes()[:seed.Len()/2])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x08, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := readEnvelope(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var again bytes.Buffer
		_, err = protodelim.MarshalTo(&again, envelope)
		require.NoError(t, err)
		second, err := readEnvelope(bufio.NewReader(&again))
		require.NoError(t, err)
		require.True(t, proto.Equal(envelope, second))
		require.Equal(t, envelope.ProtoReflect().GetUnknown(), second.ProtoReflect().GetUnknown())
	})
}
