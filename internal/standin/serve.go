// Package standin provides stand-ins for the external systems: the platform and
// upstreams. Experiments and tests run them in process or, with a control
// interface, in separate processes.
package standin

import (
	"net"
	"net/http"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const headerTimeout = 5 * time.Second

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeAddress, Message: "cannot listen on " + address, Fix: "choose a free address", Cause: err}
	}
	return listener, nil
}

// serve listens on the address, serves in the background and returns the address in use.
func serve(address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, "", err
	}
	return serveOn(listener, handler), listener.Addr().String(), nil
}

func serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return server
}
