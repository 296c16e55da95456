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

// Parameters of the measurements of links.
const (
	fewLinks            = 20
	manyLinks           = 120
	manyPeers           = 64
	hopParts            = 60000
	hopInFlight         = 64
	forwardParts        = 10000
	payloadBytes        = 200
	certificateValidity = time.Hour
	targetBundle        = 10
)

// partInterval is the time between two parts of a bundle whose replicas finish one
// after the other.
const partInterval = time.Millisecond

// An idle link first discovers the largest packet size of its path, with one probe
// per keepalive. settleTime covers that discovery, and keepAliveDuration covers
// several keepalives after it.
const (
	settleTime        = 30 * time.Second
	keepAliveDuration = 20 * time.Second
)

// links holds a pool and the servers that it connects to, in one process.
type links struct {
	authority *keys.Authority
	handler   peer.HandlerFunc
	pool      *peer.Pool
	servers   []*peer.Server
	targets   []peer.Target
}

func newLinks(handler peer.HandlerFunc) (*links, error) {
	authority, err := keys.NewAuthority(time.Now(), certificateValidity)
	if err != nil {
		return nil, err
	}
	l := &links{authority: authority, handler: handler}
	config, err := l.tlsConfig("asker")
	if err != nil {
		return nil, err
	}
	l.pool, err = peer.NewPool(config, peer.Identity{Node: "asker", Incarnation: 1}, handler)
	return l, err
}

func (l *links) tlsConfig(id string) (*tls.Config, error) {
	pair, err := l.authority.Issue(id, time.Now(), certificateValidity)
	if err != nil {
		return nil, err
	}
	return keys.TLSConfig(l.authority.Certificate, pair)
}

func (l *links) startServers(count int) error {
	for range count {
		id := core.NodeID(fmt.Sprintf("server-%d", len(l.servers)))
		config, err := l.tlsConfig(string(id))
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

// replyAllParts replies with a part for each requested shard, each in a message of
// its own, as an owner does.
func replyAllParts(inbound *peer.Inbound) {
	request := inbound.Envelope.GetBundleRequest()
	asks := request.GetAsks()
	for i, ask := range asks {
		inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: examplePart(ask)}}, i == len(asks)-1)
	}
}

// replyPartsInSequence replies with the parts at intervals, as different replicas
// finish them, so that they do not share a packet.
func replyPartsInSequence(inbound *peer.Inbound) {
	asks := inbound.Envelope.GetBundleRequest().GetAsks()
	remaining := atomic.Int64{}
	remaining.Store(int64(len(asks)))
	for i, ask := range asks {
		time.AfterFunc(time.Duration(i+1)*partInterval, func() {
			inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_Part{Part: examplePart(ask)}}, remaining.Add(-1) == 0)
		})
	}
}

// examplePayload is the payload of a part as an upstream sends it: a JSON value.
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

// requestParts requests the given number of parts in bundles, distributed over the
// targets, with at most inFlight requests in flight.
func (l *links) requestParts(targets []peer.Target, parts, bundle, inFlight int) error {
	slots := make(chan struct{}, inFlight)
	var pending sync.WaitGroup
	var mutex sync.Mutex
	var failed error
	for i := range parts / bundle {
		slots <- struct{}{}
		pending.Add(1)
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
			pending.Done()
		})
	}
	pending.Wait()
	return failed
}

// handshakeSlopes opens links one after the other and measures their memory and handshakes.
func handshakeSlopes() ([]figure, error) {
	l, err := newLinks(replyAllParts)
	if err != nil {
		return nil, err
	}
	defer l.close()
	if err := l.startServers(manyLinks); err != nil {
		return nil, err
	}
	openTargets := func(targets []peer.Target) func() error {
		return func() error { return l.requestParts(targets, len(targets), 1, 1) }
	}
	if err := openTargets(l.targets[:fewLinks])(); err != nil {
		return nil, fault.Wrap("open links", err)
	}
	before := memoryInUse()
	cpu, elapsed, err := measureCPU(openTargets(l.targets[fewLinks:]))
	if err != nil {
		return nil, fault.Wrap("open links", err)
	}
	opened := manyLinks - fewLinks
	return []figure{
		{"peer link: memory, both ends", "bytes", (memoryInUse() - before) / float64(opened)},
		{"peer handshake: CPU, both ends", "us", microsPer(cpu, opened)},
		{"peer handshake: time on loopback, with one request", "us", microsPer(elapsed, opened)},
	}, nil
}

// openLinks opens links to manyPeers peers by sending one request over each.
func openLinks(handler peer.HandlerFunc) (*links, error) {
	l, err := newLinks(handler)
	if err != nil {
		return nil, err
	}
	err = l.startServers(manyPeers)
	if err == nil {
		err = fault.Wrap("open links", l.requestParts(l.targets, manyPeers, 1, 1))
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// hopSlopes measures the cost of requests between nodes, with one and many peers and
// with small and large bundles.
func hopSlopes() ([]figure, error) {
	l, err := openLinks(replyAllParts)
	if err != nil {
		return nil, err
	}
	defer l.close()
	var figures []figure
	for _, one := range []struct{ peers, bundle int }{{1, 1}, {1, targetBundle}, {manyPeers, 1}, {manyPeers, targetBundle}} {
		cpu, _, err := measureCPU(func() error { return l.requestParts(l.targets[:one.peers], hopParts, one.bundle, hopInFlight) })
		if err != nil {
			return nil, fault.Wrap("send requests to peers", err)
		}
		name := fmt.Sprintf("peer hop: CPU of a part, both ends, bundle %d, %d peers", one.bundle, one.peers)
		figures = append(figures, figure{name, "us", microsPer(cpu, hopParts)})
	}
	bytes, err := l.hopBytes()
	if err != nil {
		return nil, err
	}
	spread, err := sequentialPartsSlopes()
	return append(append(figures, bytes...), spread...), err
}

// sequentialPartsSlopes measures the cost when little can be batched: many peers, few
// messages on each link and parts that arrive one after the other.
func sequentialPartsSlopes() ([]figure, error) {
	l, err := openLinks(replyPartsInSequence)
	if err != nil {
		return nil, err
	}
	defer l.close()
	cpu, _, err := measureCPU(func() error { return l.requestParts(l.targets, hopParts, targetBundle, hopInFlight) })
	name := fmt.Sprintf("peer hop: CPU of a part, both ends, bundle %d, %d peers, parts one by one", targetBundle, manyPeers)
	return []figure{{name, "us", microsPer(cpu, hopParts)}}, fault.Wrap("send requests to peers", err)
}

// keepAliveSlopes counts the bytes of a link without requests.
func keepAliveSlopes() ([]figure, error) {
	l, err := newLinks(replyAllParts)
	if err != nil {
		return nil, err
	}
	defer l.close()
	if err := l.startServers(1); err != nil {
		return nil, err
	}
	forward, err := startForwarder(l.targets[0].Address)
	if err != nil {
		return nil, err
	}
	defer forward.close()
	target := []peer.Target{{Node: l.targets[0].Node, Address: forward.address()}}
	if err := l.requestParts(target, 1, 1, 1); err != nil {
		return nil, fault.Wrap("open a link", err)
	}
	opened := forward.bytes.Load()
	time.Sleep(settleTime)
	settled := forward.bytes.Load()
	time.Sleep(keepAliveDuration)
	kept := float64(forward.bytes.Load() - settled)
	return []figure{
		{"peer link: UDP bytes to open it, both ways", "bytes", float64(opened)},
		{"peer link: UDP bytes to find its packet size, both ways", "bytes", float64(settled - opened)},
		{"peer link: UDP bytes of an idle link, both ways", "bytes/s", kept / keepAliveDuration.Seconds()},
	}, nil
}

// hopBytes counts the UDP payload bytes of requests through a forwarder.
func (l *links) hopBytes() ([]figure, error) {
	var figures []figure
	for _, bundle := range []int{1, targetBundle} {
		forward, err := startForwarder(l.targets[0].Address)
		if err != nil {
			return nil, err
		}
		target := []peer.Target{{Node: l.targets[0].Node, Address: forward.address()}}
		err = l.requestParts(target, bundle, bundle, 1)
		before := forward.bytes.Load()
		if err == nil {
			err = l.requestParts(target, forwardParts, bundle, hopInFlight)
		}
		moved := forward.bytes.Load() - before
		forward.close()
		if err != nil {
			return nil, fault.Wrap("send requests through the forwarder", err)
		}
		name := fmt.Sprintf("peer hop: UDP bytes of a part, both ways, bundle %d", bundle)
		figures = append(figures, figure{name, "bytes", float64(moved) / forwardParts})
		figures = append(figures, figure{fmt.Sprintf("peer hop: message bytes of a part, both ways, bundle %d", bundle), "bytes", messageBytes(bundle)})
	}
	return figures, nil
}

// messageBytes is the encoded size of a part's reply and of its share of the request.
func messageBytes(bundle int) float64 {
	request := exampleRequest(bundle)
	reply := &peerpb.Envelope{Id: 1, Body: &peerpb.Envelope_Part{Part: examplePart(request.GetBundleRequest().GetAsks()[0])}}
	return float64(proto.Size(request))/float64(bundle) + float64(proto.Size(reply))
}
