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
	// maxBatchRecords and maxBatchBytes keep a HandoverRequest below the maximum message
	// size of the peer protocol.
	maxBatchRecords = 1000
	maxBatchBytes   = 1 << 20
)

// Stop performs a planned stop: no new key is run, running requests finish, and then the
// outcomes are sent to the successors. If the context is done earlier, the remaining
// steps are skipped: the affected keys are answered "unknown" later and never run again.
func (h *Home) Stop(ctx context.Context) {
	idle := make(chan struct{})
	if h.loop.events.Put(ctx, stopRequested{idle: idle}) != nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	records := make(chan []once.Record, 1)
	if h.loop.events.Put(ctx, recordsRequested{records: records}) != nil {
		return
	}
	select {
	case outcomes := <-records:
		h.handOver(ctx, outcomes)
	case <-ctx.Done():
	}
}

// handOver sends each record to the successor of the home that issued its key. The
// successor is chosen in this node's view without this node, which is the view that the
// entries will have.
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
	accepted := h.sendAll(ctx, view, batches)
	h.options.Log.WithField("event", "outcomes_handed_over").WithField("kept", len(records)).WithField("taken", accepted).Info("outcomes handed over to the successors")
}

// sendAll sends to all successors in parallel, so that an unreachable one does not delay
// the others. It returns the number of accepted records.
func (h *Home) sendAll(ctx context.Context, view *route.View, batches map[core.NodeID][]*peerpb.FinishedOnce) int {
	var accepted atomic.Int64
	var done sync.WaitGroup
	for id, finished := range batches {
		node, _ := view.Node(id)
		done.Add(1)
		go func() {
			defer done.Done()
			accepted.Add(int64(h.sendRecords(ctx, target(node), finished)))
		}()
	}
	done.Wait()
	return int(accepted.Load())
}

// sendRecords sends records to one node in batches and returns how many were accepted.
func (h *Home) sendRecords(ctx context.Context, to peer.Target, finished []*peerpb.FinishedOnce) int {
	accepted := 0
	for len(finished) > 0 {
		n := batchLength(finished)
		accepted += h.sendBatch(ctx, to, finished[:n])
		finished = finished[n:]
	}
	return accepted
}

func batchLength(finished []*peerpb.FinishedOnce) int {
	size := 0
	for i, one := range finished {
		size += len(one.GetReply().GetPayload()) + len(one.GetKey())
		if i > 0 && (i >= maxBatchRecords || size > maxBatchBytes) {
			return i
		}
	}
	return len(finished)
}

func (h *Home) sendBatch(ctx context.Context, to peer.Target, finished []*peerpb.FinishedOnce) int {
	replies := make(chan int, 1)
	message := &peerpb.HandoverRequest{Node: string(h.options.Self), Finished: finished}
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_HandoverRequest{HandoverRequest: message}}
	canceller := h.options.Peers.Send(to, envelope, func(reply *peerpb.Envelope, _ *peer.LinkError) {
		select {
		case replies <- int(reply.GetHandoverReply().GetTaken()):
		default:
		}
	})
	select {
	case accepted := <-replies:
		return accepted
	case <-ctx.Done():
		canceller.Cancel()
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

func (l *loop) inherit(e handoverReceived) {
	var records []once.Record
	for _, message := range e.inbound.Envelope.GetHandoverRequest().GetFinished() {
		if record, ok := fromFinished(message); ok {
			records = append(records, record)
		}
	}
	accepted := l.ledger.Inherit(l.options.Now(), records)
	reply := &peerpb.HandoverReply{Taken: uint32(accepted)}
	e.inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_HandoverReply{HandoverReply: reply}}, true)
}
