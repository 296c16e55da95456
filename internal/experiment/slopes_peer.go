package experiment

import (
	"crypto/tls"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// The sizes of the measurements of links.
const (
	fewLinks     = 20
	manyLinks    = 120
	manyPeers    = 64
	hopParts     = 60000
	hopInFlight  = 64
	forwardParts = 10000
	payloadBytes = 200
	keysValid    = time.Hour
	targetBundle = 10
)

// spreadStep is the time between two parts of a bundle that answers as its
// replicas do: one after the other.
const spreadStep = time.Millisecond

// An idle link first finds the largest packet that its path takes, one probe a
// keepalive; settleTime spans that, keepAliveTime several keepalives after it.
const (
	settleTime    = 30 * time.Second
	keepAliveTime = 20 * time.Second
)

// links are a pool and the servers it asks, in one process.
type links struct {
	authority *keys.Authority
	handler   peer.HandlerFunc
	pool      *peer.Pool
	servers   []*peer.Server
	targets   []peer.Target
}

func newLinks(handler peer.HandlerFunc) (*links, error) {
	authority, err := keys.NewAuthority(time.Now(), keysValid)
	if err != nil {
		return nil, err
	}
	l := &links{authority: authority, handler: handler}
	config, err := l.keys("asker")
	if err != nil {
		return nil, err
	}
	l.pool, err = peer.NewPool(config, peer.Identity{Node: "asker", Incarnation: 1}, handler)
	return l, err
}

func (l *links) keys(id string) (*tls.Config, error) {
	pair, err := l.authority.Issue(id, time.Now(), keysValid)
	if err != nil {
		return nil, err
	}
	return keys.TLSConfig(l.authority.Certificate, pair)
}

func (l *links) serve(count int) error {
	for range count {
		id := core.NodeID(fmt.Sprintf("server-%d", len(l.servers)))
		config, err := l.keys(string(id))
		if err != nil {
			return err
		}
		server, err := peer.Listen("127.0.0.1:0", config, peer.Identity{Node: id, Incarnation: 1}, l.handler)
		if err != nil {
			return err
		}
		l.servers = append(l.servers, server)
		l.targets = append(l.targets, peer.Target{Node: id, Address: server.Address()})
	}
	return nil
}

func (l *links) close() {
	_ = l.pool.Close()
	for _, server := range l.servers {
		_ = server.Close()
	}
}

// answerAll replies a part for each shard asked, one message each, as an owner
// does.
func answerAll(inbound *peer.Inbound) {
	request := inbound.Envelope.GetBundleRequest()
	asks := request.GetAsks()
	for i, ask := range asks {
		inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: examplePart(ask)}}, i == len(asks)-1)
	}
}

// answerSpread replies the parts one after the other, as they finish at
// different replicas, so that they do not share a packet.
func answerSpread(inbound *peer.Inbound) {
	asks := inbound.Envelope.GetBundleRequest().GetAsks()
	left := atomic.Int64{}
	left.Store(int64(len(asks)))
	for i, ask := range asks {
		time.AfterFunc(time.Duration(i+1)*spreadStep, func() {
			inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: examplePart(ask)}}, left.Add(-1) == 0)
		})
	}
}

// examplePayload is a part as an upstream writes it: a JSON value.
var examplePayload = []byte(strconv.Quote(strings.Repeat("x", payloadBytes-2)))

func examplePart(ask *peerpb.ShardAsk) *peerpb.Part {
	return &peerpb.Part{
		Service: ask.GetService(),
		Shard:   ask.GetShard(),
		Version: 42,
		Serves:  []uint64{41, 42},
		Payload: examplePayload,
		Outcome: uint32(core.Done),
		Tries:   1,
	}
}

func exampleRequest(shards int) *peerpb.Envelope {
	request := &peerpb.BundleRequest{
		Customer:   "southern-table",
		RequestId:  "vm-0001-dh3k2l9x0a-123456",
		Bundle:     3141592653,
		Version:    42,
		TimeLeftUs: 160000,
		Question:   []byte(`"pork shoulder, since March"`),
		View:       1 << 60,
	}
	for i := range shards {
		request.Asks = append(request.Asks, &peerpb.ShardAsk{Service: fmt.Sprintf("main-search-%02d", i)})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_BundleRequest{BundleRequest: request}}
}

// ask sends messages for the number of parts, spread over the targets, with at
// most inFlight messages open.
func (l *links) ask(targets []peer.Target, parts, bundle, inFlight int) error {
	slots := make(chan struct{}, inFlight)
	var open sync.WaitGroup
	var mutex sync.Mutex
	var failed error
	for i := range parts / bundle {
		slots <- struct{}{}
		open.Add(1)
		l.pool.Send(targets[i%len(targets)], exampleRequest(bundle), func(reply *peerpb.Envelope, failure *peer.LinkError) {
			if failure == nil && !reply.GetLast() {
				return
			}
			if failure != nil {
				mutex.Lock()
				failed = failure
				mutex.Unlock()
			}
			<-slots
			open.Done()
		})
	}
	open.Wait()
	return failed
}

// handshakeSlopes opens links one after the other and weighs what they hold.
func handshakeSlopes() ([]figure, error) {
	l, err := newLinks(answerAll)
	if err != nil {
		return nil, err
	}
	defer l.close()
	if err := l.serve(manyLinks); err != nil {
		return nil, err
	}
	open := func(targets []peer.Target) func() error {
		return func() error { return l.ask(targets, len(targets), 1, 1) }
	}
	if err := open(l.targets[:fewLinks])(); err != nil {
		return nil, fault.Wrap("open links", err)
	}
	before := memoryInUse()
	cpu, elapsed, err := cpuOf(open(l.targets[fewLinks:]))
	if err != nil {
		return nil, fault.Wrap("open links", err)
	}
	opened := manyLinks - fewLinks
	return []figure{
		{"peer link: memory, both ends", "bytes", (memoryInUse() - before) / float64(opened)},
		{"peer handshake: CPU, both ends", "us", micros(cpu, opened)},
		{"peer handshake: time on loopback, with one request", "us", micros(elapsed, opened)},
	}, nil
}

// openLinks makes links to manyPeers peers and opens each by one request.
func openLinks(handler peer.HandlerFunc) (*links, error) {
	l, err := newLinks(handler)
	if err != nil {
		return nil, err
	}
	err = l.serve(manyPeers)
	if err == nil {
		err = fault.Wrap("open links", l.ask(l.targets, manyPeers, 1, 1))
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// hopSlopes is the cost of sub-requests between two nodes, with few and many
// peers and with small and large bundles.
func hopSlopes() ([]figure, error) {
	l, err := openLinks(answerAll)
	if err != nil {
		return nil, err
	}
	defer l.close()
	var figures []figure
	for _, one := range []struct{ peers, bundle int }{{1, 1}, {1, targetBundle}, {manyPeers, 1}, {manyPeers, targetBundle}} {
		cpu, _, err := cpuOf(func() error { return l.ask(l.targets[:one.peers], hopParts, one.bundle, hopInFlight) })
		if err != nil {
			return nil, fault.Wrap("ask peers", err)
		}
		name := fmt.Sprintf("peer hop: CPU of a part, both ends, bundle %d, %d peers", one.bundle, one.peers)
		figures = append(figures, figure{name, "us", micros(cpu, hopParts)})
	}
	bytes, err := l.hopBytes()
	if err != nil {
		return nil, err
	}
	spread, err := spreadHop()
	return append(append(figures, bytes...), spread...), err
}

// spreadHop is the cost when batches thin out: many peers, few messages on each
// and parts that come one after the other.
func spreadHop() ([]figure, error) {
	l, err := openLinks(answerSpread)
	if err != nil {
		return nil, err
	}
	defer l.close()
	cpu, _, err := cpuOf(func() error { return l.ask(l.targets, hopParts, targetBundle, hopInFlight) })
	name := fmt.Sprintf("peer hop: CPU of a part, both ends, bundle %d, %d peers, parts one by one", targetBundle, manyPeers)
	return []figure{{name, "us", micros(cpu, hopParts)}}, fault.Wrap("ask peers", err)
}

// keepAliveSlopes counts the bytes of a link that carries nothing.
func keepAliveSlopes() ([]figure, error) {
	l, err := newLinks(answerAll)
	if err != nil {
		return nil, err
	}
	defer l.close()
	if err := l.serve(1); err != nil {
		return nil, err
	}
	forward, err := startForwarder(l.targets[0].Address)
	if err != nil {
		return nil, err
	}
	defer forward.close()
	target := []peer.Target{{Node: l.targets[0].Node, Address: forward.address()}}
	if err := l.ask(target, 1, 1, 1); err != nil {
		return nil, fault.Wrap("open a link", err)
	}
	opened := forward.bytes.Load()
	time.Sleep(settleTime)
	settled := forward.bytes.Load()
	time.Sleep(keepAliveTime)
	kept := float64(forward.bytes.Load() - settled)
	return []figure{
		{"peer link: UDP bytes to open it, both ways", "bytes", float64(opened)},
		{"peer link: UDP bytes to find its packet size, both ways", "bytes", float64(settled - opened)},
		{"peer link: UDP bytes of an idle link, both ways", "bytes/s", kept / keepAliveTime.Seconds()},
	}, nil
}

// hopBytes counts the UDP payload of sub-requests through a forwarder.
func (l *links) hopBytes() ([]figure, error) {
	var figures []figure
	for _, bundle := range []int{1, targetBundle} {
		forward, err := startForwarder(l.targets[0].Address)
		if err != nil {
			return nil, err
		}
		target := []peer.Target{{Node: l.targets[0].Node, Address: forward.address()}}
		err = l.ask(target, bundle, bundle, 1)
		before := forward.bytes.Load()
		if err == nil {
			err = l.ask(target, forwardParts, bundle, hopInFlight)
		}
		moved := forward.bytes.Load() - before
		forward.close()
		if err != nil {
			return nil, fault.Wrap("ask through the forwarder", err)
		}
		name := fmt.Sprintf("peer hop: UDP bytes of a part, both ways, bundle %d", bundle)
		figures = append(figures, figure{name, "bytes", float64(moved) / forwardParts})
		figures = append(figures, figure{fmt.Sprintf("peer hop: message bytes of a part, both ways, bundle %d", bundle), "bytes", messageBytes(bundle)})
	}
	return figures, nil
}

// messageBytes is the encoded size of a part's share of the request and of its
// reply.
func messageBytes(bundle int) float64 {
	request := exampleRequest(bundle)
	reply := &peerpb.Envelope{Id: 1, Body: &peerpb.Envelope_Part{Part: examplePart(request.GetBundleRequest().GetAsks()[0])}}
	return float64(proto.Size(request))/float64(bundle) + float64(proto.Size(reply))
}
