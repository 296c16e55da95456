package app

import (
	"io"
	"net"
	"net/http"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// startHTTP starts the servers for callers and operators.
func (n *Node) startHTTP() error {
	var err error
	n.caller, err = n.serve(n.settings.CallerAddress, n.closeConnectionsWhenStopping(n.callerHandler()))
	if err != nil {
		return fault.Wrap("listen for callers", err)
	}
	n.operator, err = n.serve(n.settings.OperatorAddress, n.operatorHandler())
	if err != nil {
		return fault.Wrap("listen for operators", err)
	}
	n.watchListener("caller", n.caller.listener)
	n.watchListener("operator", n.operator.listener)
	return nil
}

func (n *Node) callerHandler() http.Handler {
	return api.NewCallerHandler(api.CallerOptions{
		Log:     n.log,
		Entry:   n.entry,
		Home:    n.home,
		Entries: n.entries,
		Body:    api.BodyLimits{MaxBytes: int64(n.settings.Limits.MaxBodyBytes), Timeout: n.settings.Limits.BodyTimeout},
		Metrics: n.metrics,
	})
}

func (n *Node) operatorHandler() http.Handler {
	return api.NewOperatorHandler(api.OperatorOptions{
		Log:           n.log,
		BodyTimeout:   n.settings.Limits.BodyTimeout,
		Health:        n.health,
		Status:        func() any { return n.Status() },
		Dump:          n.dump,
		Nodes:         n.nodeAddresses,
		Problems:      func() api.ProblemsReport { return api.ProblemsReport{Nodes: []api.NodeProblems{n.collector.Local()}} },
		FleetProblems: n.collector.FleetProblems,
		Metrics:       func(out io.Writer) { observe.WriteText(out, n.metrics) },
	})
}

func (n *Node) serve(address string, handler http.Handler) (*httpServer, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.ListenFailed(address, err)
	}
	limits := n.settings.Limits
	listener := api.LimitConnections(inner, limits.Connections)
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, ErrorLog: logs.NewHTTPErrorLog(n.log)}
	go func() { _ = server.Serve(listener) }()
	return &httpServer{Server: server, address: inner.Addr().String(), listener: listener}, nil
}
