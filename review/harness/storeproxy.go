package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// storeProxy passes the connections of one node to the store on unchanged, and tells when the node last called it.
type storeProxy struct {
	listener net.Listener
	store    string
	// calledAt is the time of the last call, in Unix nanoseconds.
	calledAt atomic.Int64
}

func startStoreProxy(store string) (*storeProxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: listener, store: store}
	go p.accept()
	return p, nil
}

func (p *storeProxy) address() string { return p.listener.Addr().String() }

func (p *storeProxy) close() { _ = p.listener.Close() }

func (p *storeProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

// pass passes one connection on in both directions until either side ends it.
func (p *storeProxy) pass(from net.Conn) {
	to, err := net.Dial("tcp", p.store)
	if err != nil {
		_ = from.Close()
		return
	}
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
		_ = to.Close()
	}()
	_, _ = io.Copy(to, callReader{from, p})
	_ = from.Close()
	_ = to.Close()
}

// callReader notes the time of what it reads.
type callReader struct {
	io.Reader
	proxy *storeProxy
}

// Read implements io.Reader.
func (r callReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.proxy.calledAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// calledWithin reports whether the node has called the store within the given time.
func (p *storeProxy) calledWithin(limit time.Duration) bool {
	return time.Now().UnixNano()-p.calledAt.Load() < limit.Nanoseconds()
}
