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

// The sizes of the measurements of the roles.
const (
	wideQuestion    = groupOfTarget
	entryParts      = 220000
	openQuestions   = 500
	ownerShards     = 200
	ownerParts      = 40000
	askersAtOnce    = 32
	heldConnections = 400
	bodyBytes       = 1 << 20
	longTimeout     = time.Minute
)

// parts are what the roles need of a node.
type parts struct {
	belief   *belief.Store
	now      func() core.Time
	log      logrus.FieldLogger
	problems *observe.Problems
}

func newParts(text []byte) (parts, error) {
	parsed, err := catalog.Parse(text)
	if err != nil {
		return parts{}, fault.Step("parse the text", err)
	}
	store := belief.NewStore()
	store.SetView(route.NewView([]route.Node{{ID: "self", DataCentre: "dc1"}}))
	store.SetConfig(&belief.Config{Revision: 1, Text: text, Catalog: parsed})
	started := time.Now()
	now := func() core.Time { return time.Since(started) }
	return parts{belief: store, now: now, log: quietLog(), problems: observe.NewProblems(now)}, nil
}

// instantPeers answer every request at once; silent ones never do.
type instantPeers struct{ silent bool }

type noTicket struct{}

func (noTicket) Cancel() {}

// Ask implements peer.Asker.
func (p instantPeers) Ask(_ peer.Target, request *peerpb.Envelope, sink peer.Sink) peer.Ticket {
	if !p.silent {
		answerAll(peer.NewInbound(context.Background(), peer.Identity{}, request, func(reply *peerpb.Envelope) { sink(reply, nil) }))
	}
	return noTicket{}
}

func newEntry(text []byte, peers peer.Asker) (*entry.Entry, error) {
	p, err := newParts(text)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		Self: "self", Incarnation: 1, Belief: p.belief, Peers: peers, Now: p.now, Log: p.log,
		Problems: p.problems, Metrics: observe.NewRegistry(),
	}), nil
}

func question() entry.Question {
	return entry.Question{Service: "s-0-0", Customer: "large", Body: []byte(`"pork shoulder"`), Timeout: longTimeout}
}

// questionText is the text of one question over the given number of shards:
// one depends on all the others and receives their parts.
func questionText(services, bundle int) []byte {
	return []byte(strings.Replace(string(wideText(services, services, bundle)), "version: 1\n", fmt.Sprintf("version: 1\ndefault_customer: {in_flight: %d}\n", inFlight), 1))
}

func entrySlopes() ([]figure, error) {
	var figures []figure
	for _, bundle := range []int{1, targetBundle} {
		e, err := newEntry(questionText(wideQuestion, bundle), instantPeers{})
		if err != nil {
			return nil, err
		}
		cpu, _, err := cpuOf(func() error { return askMany(e, entryParts/wideQuestion) })
		e.Close()
		if err != nil {
			return nil, fault.Step("ask the entry", err)
		}
		figures = append(figures, figure{fmt.Sprintf("entry: CPU of a part, 110 shards, bundle %d", bundle), "us", micros(cpu, entryParts)})
	}
	whole, err := callerSlopes()
	if err != nil {
		return nil, err
	}
	memory, err := questionMemory()
	return append(append(figures, whole...), memory...), err
}

// discard is a response that nobody reads.
type discard struct {
	header http.Header
	status int
}

func (d *discard) Header() http.Header { return d.header }

func (d *discard) Write(body []byte) (int, error) { return len(body), nil }

func (d *discard) WriteHeader(status int) { d.status = status }

// callerSlopes asks through the callers' interface, without a connection: the
// JSON of question and answer counts, HTTP's bytes do not.
func callerSlopes() ([]figure, error) {
	e, err := newEntry(questionText(wideQuestion, targetBundle), instantPeers{})
	if err != nil {
		return nil, err
	}
	defer e.Close()
	handler := api.NewCallerHandler(api.CallerOptions{
		Log:     quietLog(),
		Entry:   e,
		Body:    api.BodyLimits{MaxBytes: bodyBytes, Timeout: longTimeout},
		Metrics: observe.NewRegistry(),
	})
	const questions = entryParts / wideQuestion
	cpu, _, err := cpuOf(func() error {
		for range questions {
			if err := askHandler(handler); err != nil {
				return err
			}
		}
		return nil
	})
	return []figure{{"entry: CPU of a part with the callers' JSON, 110 shards, bundle 10", "us", micros(cpu, questions*wideQuestion)}}, err
}

func askHandler(handler http.Handler) error {
	body := strings.NewReader(`{"customer":"large","question":"pork shoulder","timeout_ms":60000}`)
	request, err := http.NewRequest(http.MethodPost, "/v1/query/s-0-0", body)
	if err != nil {
		return fault.Step("build a request", err)
	}
	response := &discard{header: http.Header{}, status: http.StatusOK}
	handler.ServeHTTP(response, request)
	if response.status != http.StatusOK {
		return &fault.Error{Code: fault.CodeInternal, Message: "the entry answered " + http.StatusText(response.status)}
	}
	return nil
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func askMany(e *entry.Entry, questions int) error {
	var open sync.WaitGroup
	errs := make(chan error, askersAtOnce)
	for range askersAtOnce {
		open.Go(func() {
			for range questions / askersAtOnce {
				if _, err := e.Ask(context.Background(), question()); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	open.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// questionMemory is what a question holds while no owner has answered.
func questionMemory() ([]figure, error) {
	e, err := newEntry(questionText(wideQuestion, 1), instantPeers{silent: true})
	if err != nil {
		return nil, err
	}
	defer e.Close()
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	for range openQuestions {
		open.Go(func() { _, _ = e.Ask(ctx, question()) })
	}
	for e.InFlight() < openQuestions {
		time.Sleep(time.Millisecond)
	}
	memory := memoryInUse() - before
	cancel()
	open.Wait()
	return []figure{{"entry: memory of a question in flight, 110 shards", "bytes", memory / openQuestions}}, nil
}

// shardText writes services of one shard with one replica at each address.
func shardText(addresses []string) []byte {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [main]\nservices:\n")
	for i, address := range addresses {
		fmt.Fprintf(&b, "  - {name: s-%d, index: main, slots: 6, connections: 50, shards: [{replicas: [{address: %q, data_centre: dc1}]}]}\n", i, address)
	}
	return []byte(b.String())
}

// ownerSlopes runs parts through an owner against responders that cost as
// little as can be.
func ownerSlopes() ([]figure, error) {
	responders, addresses, err := startResponders(ownerShards, nil)
	if err != nil {
		return nil, err
	}
	defer responders.close()
	p, err := newParts(shardText(addresses))
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
	if err := run.ask(ownerShards, 1); err != nil {
		return nil, err
	}
	memory := memoryInUse() - before
	cpu, _, err := cpuOf(func() error { return run.ask(ownerParts, askersAtOnce) })
	if err != nil {
		return nil, err
	}
	raw, err := rawCost(addresses[0])
	if err != nil {
		return nil, err
	}
	return []figure{
		{"owner: memory of a shard with one connection, both ends", "bytes", memory / ownerShards},
		{"owner: CPU of a part with its upstream request and the responder", "us", micros(cpu, ownerParts)},
		{"responder and a bare connection: CPU of a request", "us", raw},
	}, nil
}

func bundleIDs(text *catalog.Catalog, count int) []uint32 {
	ids := make([]uint32, count)
	for i := range ids {
		ids[i] = uint32(text.Services[fmt.Sprintf("s-%d", i)].Shards[0].Bundle)
	}
	return ids
}

// ownerRun asks an owner for shard after shard.
type ownerRun struct {
	owner   *owner.Owner
	bundles []uint32
}

// ask takes the given number of parts, with atOnce requests in flight.
func (r *ownerRun) ask(count, atOnce int) error {
	slots := make(chan struct{}, atOnce)
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
			outcomes <- failureOf(reply)
			<-slots
		}))
	}
	for range count {
		if failure := <-outcomes; failure != "" {
			return &fault.Error{Code: fault.CodeUpstream, Message: "the owner answered " + failure}
		}
	}
	return nil
}

// failureOf names why a reply carries no part; "" is a part.
func failureOf(reply *peerpb.Envelope) string {
	if reply.GetPart() == nil {
		return "refused: " + reply.GetRefusal().GetReason()
	}
	if core.Outcome(reply.GetPart().GetOutcome()) != core.Done {
		return "no part: " + reply.GetPart().GetReason()
	}
	return ""
}
