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

// Field numbers that a newer version of the messages may use.
const (
	newField = 900
	newBody  = 901
)

var echoBody = HandlerFunc(func(inbound *Inbound) {
	if inbound.Envelope.GetBody() == nil {
		inbound.Reply(NewRefusal(core.ReasonNotAsked), true)
		return
	}
	inbound.Reply(&peerpb.Envelope{Body: inbound.Envelope.GetBody()}, true)
})

// withUnknownField adds a field that this version does not define.
func withUnknownField(envelope *peerpb.Envelope, number protowire.Number) *peerpb.Envelope {
	unknown := protowire.AppendTag(nil, number, protowire.BytesType)
	envelope.ProtoReflect().SetUnknown(protowire.AppendString(unknown, "from the future"))
	return envelope
}

// Guards against failures while all VMs are replaced one by one and a newer node
// sends to an older one: unknown fields must not end the stream, and a request
// of an unknown kind must get a refusal instead of no reply.
func TestNewerMessagesAreTolerated(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", echoBody)
	pool := startPool(t, authority, "b")
	target := Target{Node: "a", Address: server.Address()}
	roundTrip := func(envelope *peerpb.Envelope) received {
		replies := make(chan received, 1)
		pool.Send(target, envelope, func(reply *peerpb.Envelope, failure *LinkError) { replies <- received{reply, failure} })
		return await(t, replies)
	}
	heartbeat := &peerpb.Heartbeat{Node: "b"}
	withField := withUnknownField(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}, newField)
	require.Equal(t, "b", roundTrip(withField).reply.GetHeartbeat().GetNode())
	unknownBody := withUnknownField(&peerpb.Envelope{}, newBody)
	require.Equal(t, string(core.ReasonNotAsked), roundTrip(unknownBody).reply.GetRefusal().GetReason())
	again := &peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: heartbeat}}
	require.Equal(t, "b", roundTrip(again).reply.GetHeartbeat().GetNode())
}

// Guards against random packets on the peer port disturbing the requests of
// other nodes.
func TestGarbageOnThePeerPortDisturbsNobody(t *testing.T) {
	authority := newAuthority(t)
	server := startServer(t, authority, "a", echoBody)
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
			replies, _ := sendHeartbeat(pool, Target{Node: "a", Address: server.Address()})
			require.Nil(t, await(t, replies).failure)
		}
	}
	replies, _ := sendHeartbeat(pool, Target{Node: "a", Address: server.Address()})
	require.Nil(t, await(t, replies).failure)
}

// dialRaw opens a QUIC connection without a Pool and returns the error that ends it.
func dialRaw(t *testing.T, server *Server, config *tls.Config) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitLimit)
	defer cancel()
	connection, err := quic.DialAddr(ctx, server.Address(), config, quicConfig())
	if err != nil {
		return err
	}
	// The server verifies the client's certificate after the client has completed
	// its own part of the handshake.
	stream, err := connection.AcceptStream(ctx)
	require.Nil(t, stream)
	return err
}

func TestUntrustedClientsAreRefused(t *testing.T) {
	server := startServer(t, newAuthority(t), "a", echoBody)
	plain := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{keys.ProtocolName}, MinVersion: tls.VersionTLS13}
	require.ErrorContains(t, dialRaw(t, server, plain), "certificate required")
	untrusted, err := newAuthority(t).Issue("b", time.Now(), time.Hour)
	require.NoError(t, err)
	certificate, err := tls.X509KeyPair(untrusted.Certificate, untrusted.Key)
	require.NoError(t, err)
	plain.Certificates = []tls.Certificate{certificate}
	require.ErrorContains(t, dialRaw(t, server, plain), "unknown certificate authority")
}

// Guards against an unclear failure of a node with the certificates of another
// fleet: its requests must fail as not run, with a cause that names the authority.
func TestAnotherFleetsNodeIsRefusedWithAClearCause(t *testing.T) {
	server := startServer(t, newAuthority(t), "a", echoBody)
	pool := startPool(t, newAuthority(t), "b")
	broken := make(chan error, 1)
	pool.OnBroken(func(_ Target, cause error) { broken <- cause })
	replies, _ := sendHeartbeat(pool, Target{Node: "a", Address: server.Address()})
	failure := await(t, replies).failure
	require.Equal(t, core.NotRun, failure.Outcome)
	require.ErrorContains(t, failure, "unknown authority")
	require.ErrorContains(t, <-broken, "unknown authority")
}

// FuzzEnvelope passes bytes to the reader of peer messages: it must either fail or
// return a message that is the same after writing and reading it again, including
// unknown fields.
func FuzzEnvelope(f *testing.F) {
	for _, envelope := range []*peerpb.Envelope{
		helloEnvelope(Identity{Node: "a", Incarnation: 1}),
		withUnknownField(&peerpb.Envelope{Id: 7, Last: true}, newBody),
		withUnknownField(NewRefusal(core.ReasonNotOwner), newField),
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
