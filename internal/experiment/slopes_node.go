package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/entry"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/owner"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Parameters of the measurements of entry and owner.
const (
	shardsPerQuery    = servicesPerQuery
	entryParts        = 220000
	queriesInFlight   = 500
	ownerShards       = 200
	ownerParts        = 40000
	concurrentCallers = 32
	connectionCount   = 400
	bodyBytes         = 1 << 20
	longTimeout       = time.Minute
)

// components are the parts of a node that entry and owner need.
type components struct {
	belief   *belief.Store
	now      func() core.Time
	log      logrus.FieldLogger
	problems *observe.Problems
}

func newComponents(text []byte) (components, error) {
	parsed, err := catalog.Parse(text)
	if err != nil {
		return components{}, fault.Wrap("parse the configuration", err)
	}
	store := belief.NewStore()
	store.SetView(route.NewView([]route.Node{{ID: "self", DataCentre: "dc1"}}))
	store.SetConfig(&belief.Config{Revision: 1, Text: text, Catalog: parsed})
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	return components{belief: store, now: now, log: discardLog(), problems: observe.NewProblems(now)}, nil
}

// instantPeers answers every request at once, or never if silent is set.
type instantPeers struct{ silent bool }

type noopCanceller struct{}

func (noopCanceller) Cancel() {}

// Send implements peer.Sender.
func (p instantPeers) Send(_ peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Canceller {
	if !p.silent {
		replyAllParts(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
	}
	return noopCanceller{}
}

func newEntry(text []byte, peers peer.Sender) (*entry.Entry, error) {
	p, err := newComponents(text)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		Self: "self", Incarnation: 1, Belief: p.belief, Peers: peers, Now: p.now, Log: p.log,
		Problems: p.problems, Metrics: observe.NewRegistry(),
	}), nil
}

func exampleQuery() entry.Query {
	return entry.Query{Service: "s-0-0", Customer: "large", Body: []byte(`"pork shoulder"`), Timeout: longTimeout}
}

// queryConfig describes services of one shard each, the first of which depends on
// all others and receives their parts.
func queryConfig(services, bundle int) []byte {
	return []byte(strings.Replace(string(groupedConfig(services, services, bundle)), "version: 1\n", fmt.Sprintf("version: 1\ndefault_customer: {in_flight: %d}\n", inFlightLimit), 1))
}

func entrySlopes() ([]figure, error) {
	var figures []figure
	for _, bundle := range []int{1, targetBundle} {
		e, err := newEntry(queryConfig(shardsPerQuery, bundle), instantPeers{})
		if err != nil {
			return nil, err
		}
		cpu, _, err := measureCPU(func() error { return runQueries(e, entryParts/shardsPerQuery) })
		e.Close()
		if err != nil {
			return nil, fault.Wrap("query the entry", err)
		}
		figures = append(figures, figure{fmt.Sprintf("entry: CPU of a part, 110 shards, bundle %d", bundle), "us", microsPer(cpu, entryParts)})
	}
	callerFigures, err := callerSlopes()
	if err != nil {
		return nil, err
	}
	memory, err := queryMemory()
	return append(append(figures, callerFigures...), memory...), err
}

// discardResponse is a response writer that discards the body.
type discardResponse struct {
	header http.Header
	status int
}

func (d *discardResponse) Header() http.Header { return d.header }

func (d *discardResponse) Write(body []byte) (int, error) { return len(body), nil }

func (d *discardResponse) WriteHeader(status int) { d.status = status }

// callerSlopes queries through the callers' HTTP handler without a connection: the
// cost includes the JSON of query and answer, but not the HTTP transport.
func callerSlopes() ([]figure, error) {
	e, err := newEntry(queryConfig(shardsPerQuery, targetBundle), instantPeers{})
	if err != nil {
		return nil, err
	}
	defer e.Close()
	handler := api.NewCallerHandler(api.CallerOptions{
		Log:     discardLog(),
		Entry:   e,
		Body:    api.BodyLimits{MaxBytes: bodyBytes, Timeout: longTimeout},
		Metrics: observe.NewRegistry(),
	})
	const queries = entryParts / shardsPerQuery
	cpu, _, err := measureCPU(func() error {
		for range queries {
			if err := sendQuery(handler); err != nil {
				return err
			}
		}
		return nil
	})
	return []figure{{"entry: CPU of a part with the callers' JSON, 110 shards, bundle 10", "us", microsPer(cpu, queries*shardsPerQuery)}}, err
}

func sendQuery(handler http.Handler) error {
	body := strings.NewReader(`{"customer":"large","question":"pork shoulder","timeout_ms":60000}`)
	request, err := http.NewRequest(http.MethodPost, "/v1/query/s-0-0", body)
	if err != nil {
		return fault.Wrap("build a request", err)
	}
	response := &discardResponse{header: http.Header{}, status: http.StatusOK}
	handler.ServeHTTP(response, request)
	if response.status != http.StatusOK {
		return &fault.Error{Code: fault.CodeInternal, Message: "the entry returned HTTP status " + http.StatusText(response.status)}
	}
	return nil
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func runQueries(e *entry.Entry, queries int) error {
	var running sync.WaitGroup
	errs := make(chan error, concurrentCallers)
	for range concurrentCallers {
		running.Go(func() {
			for range queries / concurrentCallers {
				if _, err := e.Ask(context.Background(), exampleQuery()); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	running.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// queryMemory measures the memory of a query in flight that no owner has answered.
func queryMemory() ([]figure, error) {
	e, err := newEntry(queryConfig(shardsPerQuery, 1), instantPeers{silent: true})
	if err != nil {
		return nil, err
	}
	defer e.Close()
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range queriesInFlight {
		running.Go(func() { _, _ = e.Ask(ctx, exampleQuery()) })
	}
	for e.InFlight() < queriesInFlight {
		time.Sleep(time.Millisecond)
	}
	memory := memoryInUse() - before
	cancel()
	running.Wait()
	return []figure{{"entry: memory of a question in flight, 110 shards", "bytes", memory / queriesInFlight}}, nil
}

// shardConfig describes a service of one shard with one replica for each address.
func shardConfig(addresses []string) []byte {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [main]\nservices:\n")
	for i, address := range addresses {
		fmt.Fprintf(&b, "  - {name: s-%d, index: main, slots: 6, connections: 50, shards: [{replicas: [{address: %q, data_centre: dc1}]}]}\n", i, address)
	}
	return []byte(b.String())
}

// ownerSlopes measures requests through an owner to responders, which use little
// CPU.
func ownerSlopes() ([]figure, error) {
	responders, addresses, err := startResponders(ownerShards, nil)
	if err != nil {
		return nil, err
	}
	defer responders.close()
	p, err := newComponents(shardConfig(addresses))
	if err != nil {
		return nil, err
	}
	client := upstream.NewClient()
	defer client.Close()
	o := owner.New(owner.Options{
		Self: "self", Belief: p.belief, Upstream: client, Now: p.now, Log: p.log,
		Problems: p.problems, Metrics: observe.NewRegistry(),
	})
	defer o.Close()
	run := &ownerRun{owner: o, bundles: bundleIDs(p.belief.Config().Catalog, ownerShards)}
	before := memoryInUse()
	if err := run.requestParts(ownerShards, 1); err != nil {
		return nil, err
	}
	memory := memoryInUse() - before
	cpu, _, err := measureCPU(func() error { return run.requestParts(ownerParts, concurrentCallers) })
	if err != nil {
		return nil, err
	}
	bareCost, err := bareRequestCost(addresses[0])
	if err != nil {
		return nil, err
	}
	return []figure{
		{"owner: memory of a shard with one connection, both ends", "bytes", memory / ownerShards},
		{"owner: CPU of a part with its upstream request and the responder", "us", microsPer(cpu, ownerParts)},
		{"responder and a bare connection: CPU of a request", "us", bareCost},
	}, nil
}

func bundleIDs(text *catalog.Catalog, count int) []uint32 {
	ids := make([]uint32, count)
	for i := range ids {
		ids[i] = uint32(text.Services[fmt.Sprintf("s-%d", i)].Shards[0].Bundle)
	}
	return ids
}

// ownerRun requests parts of an owner, shard by shard.
type ownerRun struct {
	owner   *owner.Owner
	bundles []uint32
}

// requestParts requests the given number of parts, with at most maxInFlight requests in flight.
func (r *ownerRun) requestParts(count, maxInFlight int) error {
	slots := make(chan struct{}, maxInFlight)
	outcomes := make(chan string, count)
	for i := range count {
		slots <- struct{}{}
		number := i % len(r.bundles)
		request := exampleRequest(0)
		message := request.GetBundleRequest()
		message.Bundle = r.bundles[number]
		message.TimeLeftUs = uint64(longTimeout.Microseconds())
		message.Asks = []*peerpb.ShardAsk{{Service: fmt.Sprintf("s-%d", number)}}
		r.owner.HandleBundle(peer.NewInbound(context.Background(), peer.Identity{Node: "asker"}, request, func(reply *peerpb.Envelope) {
			outcomes <- failureReason(reply)
			<-slots
		}))
	}
	for range count {
		if failure := <-outcomes; failure != "" {
			return &fault.Error{Code: fault.CodeUpstream, Message: "the owner returned no part: " + failure}
		}
	}
	return nil
}

// failureReason returns the reason why a reply has no part, or "" if it has one.
func failureReason(reply *peerpb.Envelope) string {
	if reply.GetPart() == nil {
		return "refused: " + reply.GetRefusal().GetReason()
	}
	if core.Outcome(reply.GetPart().GetOutcome()) != core.Done {
		return "outcome not done: " + reply.GetPart().GetReason()
	}
	return ""
}
