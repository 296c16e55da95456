// Package standin holds small stand-ins for the outside systems: the platform
// and upstreams. They exist for trials and tests, in this process or, with a
// control interface, in processes of their own.
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

// serve listens on the address and serves in the background.
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
