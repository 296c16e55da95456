package rig

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request as a replica received it.
type arrival struct {
	at        time.Duration
	server    string
	id        string
	method    string
	target    string
	body      string
	remaining time.Duration
	// outcome is what became of it: ran, shed, misdirected or cut (the replica ended while it ran).
	outcome string
	// sinceLeaving is how long before the store had accepted that the replica leaves; 0 if it had not.
	sinceLeaving time.Duration
}

// serverOptions configure a replica.
type serverOptions struct {
	service, zone string
	slots, queue  int
	// work is the usual time that a request takes, slowness how many times as long it takes now.
	work     time.Duration
	slowness float64
}

// server is a sound replica: it runs so many requests at a time, keeps a few more in a queue and rejects the others.
type server struct {
	serverOptions
	world    *world
	id       string
	listener net.Listener

	mutex       sync.Mutex
	connections map[net.Conn]bool
	state       string
	sequence    int
	// acceptedAt is when the store accepted that the replica leaves, 0 before.
	acceptedAt time.Duration
	waiting    int
	arrivals   []*arrival
	slotTokens chan struct{}
	ended      chan struct{}
	endOnce    sync.Once
	// answer, if set, replaces the usual answer.
	answer func(conn net.Conn, request *http.Request, received *arrival) (handled, keep bool)
}

// startServer starts a replica and lists it in the store.
func (w *world) startServer(options serverOptions) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	s := &server{
		serverOptions: options, world: w, id: fmt.Sprintf("i-%04x%04d", time.Now().UnixMilli()&0xffff, len(w.replicas)), listener: listener,
		connections: map[net.Conn]bool{}, state: "ready", slotTokens: make(chan struct{}, options.slots), ended: make(chan struct{}),
	}
	w.replicas = append(w.replicas, s)
	w.mutex.Unlock()
	go s.accept()
	s.report()
	w.record("replica %s of %s in %s at %s is ready", s.id, s.service, s.zone, s.address())
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// report writes the replica's entry. Heartbeats would change nothing but its sequence number, with which alone the entry
// doesn't change, so that none are written.
func (s *server) report() {
	s.mutex.Lock()
	s.sequence++
	entry := map[string]any{"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "warmupLeftMs": 0, "seq": s.sequence}
	s.mutex.Unlock()
	s.world.store.Put("servers/"+s.id, entry)
}

// leave reports that the replica is draining. It serves on for drainTime and extra and then exits.
func (s *server) leave(extra time.Duration) {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	s.report()
	s.mutex.Lock()
	s.acceptedAt = s.world.at()
	s.mutex.Unlock()
	s.world.record("replica %s is draining: accepted by the store", s.id)
	s.world.run(func() {
		if !s.world.sleep(drainTime + extra) {
			return
		}
		s.world.store.Remove("servers/" + s.id)
		s.exit()
		s.world.record("replica %s has exited", s.id)
	})
}

// exit ends the replica with all its connections.
func (s *server) exit() {
	s.endOnce.Do(func() {
		close(s.ended)
		_ = s.listener.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for conn := range s.connections {
			_ = conn.Close()
		}
	})
}

// servers returns the replicas started so far.
func (w *world) servers() []*server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]*server(nil), w.replicas...)
}

// setSlowness sets how many times as long as usual requests take that begin from now on, at all replicas.
func (w *world) setSlowness(x float64) { w.setServiceSlowness("", x) }

// setServiceSlowness is setSlowness for the replicas of one service; "" is all.
func (w *world) setServiceSlowness(service string, x float64) {
	changed := false
	for _, s := range w.servers() {
		if service != "" && s.service != service {
			continue
		}
		s.mutex.Lock()
		changed = changed || s.slowness != x
		s.slowness = x
		s.mutex.Unlock()
	}
	if changed {
		w.record("requests take %g times as long as usual", x)
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[conn] = true
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mutex.Lock()
		delete(s.connections, conn)
		s.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !s.handle(conn, request, string(body)) {
			return
		}
	}
}

// handle handles one request and reports whether the connection is kept.
func (s *server) handle(conn net.Conn, request *http.Request, body string) bool {
	ms, _ := strconv.Atoi(request.Header.Get("Pistachiopier-Deadline-Ms"))
	received := &arrival{
		at: s.world.at(), server: s.id, id: request.Header.Get("Pistachiopier-Request-Id"), method: request.Method, target: request.RequestURI,
		body: body, remaining: time.Duration(ms) * time.Millisecond,
	}
	if target := request.Header.Get("Pistachiopier-Target-Instance"); target != "" && target != s.id {
		s.note(received, "misdirected")
		return s.write(conn, "421 Misdirected Request", map[string]string{"Pistachiopier-Instance-Id": s.id}, nil)
	}
	s.mutex.Lock()
	if s.acceptedAt > 0 {
		received.sinceLeaving = received.at - s.acceptedAt
	}
	full := s.waiting >= s.slots+s.queue
	if !full {
		s.waiting++
	}
	s.mutex.Unlock()
	if full {
		s.note(received, "shed")
		return s.write(conn, "503 Service Unavailable", map[string]string{"Pistachiopier-Not-Executed": "1"}, nil)
	}
	defer func() {
		s.mutex.Lock()
		s.waiting--
		s.mutex.Unlock()
	}()
	return s.process(conn, request, received)
}

// process waits for a slot and runs the request.
func (s *server) process(conn net.Conn, request *http.Request, received *arrival) bool {
	deadline := time.NewTimer(received.remaining)
	defer deadline.Stop()
	select {
	case s.slotTokens <- struct{}{}:
	case <-deadline.C:
		s.note(received, "shed")
		return s.write(conn, "503 Service Unavailable", map[string]string{"Pistachiopier-Not-Executed": "1"}, nil)
	case <-s.ended:
		s.note(received, "cut in the queue")
		return false
	}
	defer func() { <-s.slotTokens }()
	s.mutex.Lock()
	work := time.Duration(float64(s.work) * s.slowness)
	s.mutex.Unlock()
	if s.answer != nil {
		if handled, keep := s.answer(conn, request, received); handled {
			return keep
		}
	}
	select {
	case <-time.After(work):
	case <-deadline.C:
		s.note(received, "ran until its deadline")
		return s.write(conn, "504 Gateway Timeout", s.signed(received.id), nil)
	case <-s.ended:
		s.note(received, "cut while it ran")
		return false
	}
	s.note(received, "ran")
	return s.write(conn, "200 OK", s.signed(received.id), s.content(received.id))
}

// content is the body of the answer to a request.
func (s *server) content(id string) []byte { return []byte("answer of " + s.service + " to " + id) }

// signed returns the headers of the replica's own answers.
func (s *server) signed(id string) map[string]string {
	return map[string]string{"Pistachiopier-Request-Id": id, "Pistachiopier-Server-Stamp": stamp(s.id, id)}
}

// stamp is the signature of a replica's answer to a request.
func stamp(server, id string) string {
	return fmt.Sprintf("%s.%x", server, sha256.Sum256([]byte(server+"/"+id)))[:len(server)+17]
}

func (s *server) write(conn net.Conn, status string, header map[string]string, body []byte) bool {
	text := "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	_, err := io.WriteString(conn, text+"\r\n"+string(body))
	return err == nil
}

// note records a request and what became of it.
func (s *server) note(received *arrival, outcome string) {
	received.outcome = outcome
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, received)
	s.mutex.Unlock()
	s.world.record("replica %s: %s %s %s arrived at %.3f, %s", s.id, received.id, received.method, received.target, received.at.Seconds(), outcome)
}

// received returns the requests that the replicas received.
func (w *world) received() []*arrival {
	var all []*arrival
	for _, s := range w.servers() {
		s.mutex.Lock()
		all = append(all, s.arrivals...)
		s.mutex.Unlock()
	}
	return all
}
