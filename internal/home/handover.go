package home

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	// batchRecords and batchBytes keep a HandoverRequest under the largest
	// message that peers take.
	batchRecords = 1000
	batchBytes   = 1 << 20
)

// Stop ends the home's work as planned: no new key runs, what runs finishes,
// then the kept outcomes go to the successors. What is not done by the context's
// end is left: its keys are "unknown" later, never run again.
func (h *Home) Stop(ctx context.Context) {
	idle := make(chan struct{})
	if h.loop.events.Put(ctx, stopped{idle: idle}) != nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	records := make(chan []once.Record, 1)
	if h.loop.events.Put(ctx, recalled{records: records}) != nil {
		return
	}
	select {
	case kept := <-records:
		h.handOver(ctx, kept)
	case <-ctx.Done():
	}
}

// handOver sends each record to the successor of the home that issued its key,
// by this node's view without itself: the view that the entries will have.
func (h *Home) handOver(ctx context.Context, records []once.Record) {
	view := without(h.options.Belief.View(), h.options.Self)
	batches := map[core.NodeID][]*peerpb.FinishedOnce{}
	for _, record := range records {
		key, err := once.ParseKey(record.Key)
		if err != nil {
			continue
		}
		if node, ok := once.Successor(view, key.Node); ok {
			batches[node.ID] = append(batches[node.ID], toFinished(record))
		}
	}
	given := h.giveAll(ctx, view, batches)
	h.options.Log.WithField("event", "outcomes_handed_over").WithField("kept", len(records)).WithField("taken", given).Info("kept outcomes handed over")
}

// giveAll sends to all successors at once, so that one that cannot be reached
// holds none of the others up.
func (h *Home) giveAll(ctx context.Context, view *route.View, batches map[core.NodeID][]*peerpb.FinishedOnce) int {
	var taken atomic.Int64
	var done sync.WaitGroup
	for id, finished := range batches {
		node, _ := view.Node(id)
		done.Add(1)
		go func() {
			defer done.Done()
			taken.Add(int64(h.give(ctx, target(node), finished)))
		}()
	}
	done.Wait()
	return int(taken.Load())
}

// give sends the records in batches and returns how many were taken.
func (h *Home) give(ctx context.Context, to peer.Target, finished []*peerpb.FinishedOnce) int {
	taken := 0
	for len(finished) > 0 {
		n := batchLength(finished)
		taken += h.giveBatch(ctx, to, finished[:n])
		finished = finished[n:]
	}
	return taken
}

func batchLength(finished []*peerpb.FinishedOnce) int {
	size := 0
	for i, one := range finished {
		size += len(one.GetReply().GetPayload()) + len(one.GetKey())
		if i > 0 && (i >= batchRecords || size > batchBytes) {
			return i
		}
	}
	return len(finished)
}

func (h *Home) giveBatch(ctx context.Context, to peer.Target, finished []*peerpb.FinishedOnce) int {
	replies := make(chan int, 1)
	message := &peerpb.HandoverRequest{Node: string(h.options.Self), Finished: finished}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_HandoverRequest{HandoverRequest: message}}
	ticket := h.options.Peers.Send(to, envelope, func(reply *peerpb.Envelope, _ *peer.LinkError) {
		select {
		case replies <- int(reply.GetHandoverReply().GetTaken()):
		default:
		}
	})
	select {
	case taken := <-replies:
		return taken
	case <-ctx.Done():
		ticket.Cancel()
		return 0
	}
}

func without(view *route.View, self core.NodeID) *route.View {
	var others []route.Node
	for _, node := range view.Nodes() {
		if node.ID != self {
			others = append(others, node)
		}
	}
	return route.NewView(others)
}

func (l *loop) inherit(e handedOver) {
	var records []once.Record
	for _, message := range e.inbound.Envelope.GetHandoverRequest().GetFinished() {
		if record, ok := fromFinished(message); ok {
			records = append(records, record)
		}
	}
	taken := l.ledger.Inherit(l.options.Now(), records)
	reply := &peerpb.HandoverReply{Taken: uint32(taken)}
	e.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_HandoverReply{HandoverReply: reply}}, true)
}
