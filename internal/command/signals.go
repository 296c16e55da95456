package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
)

// nodeSignals are the signals of a node's process.
type nodeSignals struct {
	// shutdown is cancelled by SIGINT or SIGTERM, which ask for a planned stop.
	shutdown context.Context
	// hangup delivers SIGHUP, which announces changed settings. Signals that come before the last one was taken
	// are merged with it.
	hangup <-chan os.Signal
}

// handleNodeSignals takes over the signals of a node's process until it exits. It must be called before the
// node reads its settings.
//
// The handlers are never removed: the default action of these signals is to end the process, and a signal
// during the planned stop would cut off the requests in flight. SIGPIPE, which a log without a reader
// raises, is ignored for the same reason: the lines are lost, and the node serves on.
func handleNodeSignals() nodeSignals {
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-terminate
		cancel()
	}()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return nodeSignals{shutdown: ctx, hangup: hangup}
}

// onHangup calls report for each further SIGHUP until the process exits.
func (s nodeSignals) onHangup(report func()) {
	go func() {
		for range s.hangup {
			report()
		}
	}()
}

// startNode starts a node. A signal does not cancel the start: a node that already accepts requests would exit
// without finishing them. The planned stop follows the start instead.
func startNode(app *fx.App) error { return app.Start(context.Background()) }

// stopNode performs the planned stop of a node.
func stopNode(app *fx.App, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return app.Stop(ctx)
}
