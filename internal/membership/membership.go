// Package membership keeps the routing view: which nodes are believed live.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/platform"
)

const (
	watchWait = 20 * time.Second
	pauseLow  = 100 * time.Millisecond
)

// Watcher follows the VM list for one node.
type Watcher struct {
	client *platform.Client
	store  *belief.Store
	log    logrus.FieldLogger
	stop   context.CancelFunc
	done   sync.WaitGroup
	seen   uint64
}

// Start begins watching; Close ends it.
func Start(client *platform.Client, store *belief.Store, log logrus.FieldLogger) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &Watcher{client: client, store: store, log: log, stop: stop}
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		w.run(ctx)
	}()
	return w
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
}

func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := watchWait
		if w.seen == 0 {
			wait = 0
		}
		list, changed, err := w.client.ReadVMs(ctx, w.seen, wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.log.WithError(err).WithField("event", "vm_list_read_failed").Warn("VM list not read")
			pause(ctx)
		case !changed || list.Sequence <= w.seen:
			pause(ctx)
		default:
			w.seen = list.Sequence
			w.store.SetView(route.NewView(liveNodes(list)))
		}
	}
}

func liveNodes(list platform.VMList) []route.Node {
	var nodes []route.Node
	for _, vm := range list.VMs {
		if vm.State != platform.VMLive {
			continue
		}
		nodes = append(nodes, route.Node{
			ID:              vm.ID,
			DataCentre:      vm.DataCentre,
			PeerAddress:     vm.PeerAddress,
			CallerAddress:   vm.CallerAddress,
			OperatorAddress: vm.OperatorAddress,
		})
	}
	return nodes
}

func pause(ctx context.Context) {
	timer := time.NewTimer(pauseLow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
