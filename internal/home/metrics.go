package home

import (
	"github.com/rcrowley/go-metrics"

	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// ledgerGauges are the gauges for the size of the ledger.
type ledgerGauges struct {
	entries metrics.Gauge
	bytes   metrics.Gauge
	running metrics.Gauge
}

func newLedgerGauges(registry observe.Registry) ledgerGauges {
	if registry == nil {
		registry = observe.NewRegistry()
	}
	return ledgerGauges{
		entries: observe.Gauge(registry, "once_entries"),
		bytes:   observe.Gauge(registry, "once_bytes"),
		running: observe.Gauge(registry, "once_running"),
	}
}

func (g ledgerGauges) update(ledger *once.Ledger) {
	g.entries.Update(int64(ledger.Entries()))
	g.bytes.Update(int64(ledger.Bytes()))
	g.running.Update(int64(ledger.Running()))
}
