package replicaconn

import (
	"errors"
	"net"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/connerr"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// A connection that breaks during a request proves little: the answer may have been lost, or the connection reset on
// the network path. But a replica that has ended also refuses new connections. Another connection is therefore opened
// at once: the VM of a replica that has ended refuses it within a round trip; otherwise it serves the next request.
//
// A replica that a supervisor restarts at once refuses no connection: its next incarnation accepts it. The broken
// requests are therefore kept for a while, also while the check is under way, and are reported when another incarnation
// is found at the address: it is listed there, or a request to the former one is answered as misdirected. A connection
// that broke proves little, and so does a new incarnation; both together show that the former one has ended.
//
// A replica that stopped responding together with its VM, or behind a network partition, is not detected, as nothing
// refuses the connection.

// Evidence is what showed that a replica has ended.
type Evidence string

// Kinds of evidence.
const (
	// ConnectionRefused is a new connection that the replica's VM refused.
	ConnectionRefused Evidence = "connection_refused"
	// SuccessorListed is another incarnation that is listed at the replica's address.
	SuccessorListed Evidence = "successor_listed"
	// SuccessorAnswered is another incarnation that answered a request to the replica as misdirected.
	SuccessorAnswered Evidence = "successor_answered"
	// Restarted is a later incarnation of the replica under the same id.
	Restarted Evidence = "restarted"
)

// End is the end of a replica with requests in flight.
type End struct {
	Replica  replica.Incarnation
	Evidence Evidence
	// Delay is the time from the break of the first connection until the evidence was found.
	Delay time.Duration
	// InFlight are the requests whose connections broke, in the order of their breaks.
	InFlight []*Request
}

// connectionBroke records a request whose connection broke. One check per replica runs at a time.
func (c *Client) connectionBroke(incarnation replica.Incarnation, request *Request, cause error) {
	if c.onEnded == nil {
		return
	}
	if errors.Is(cause, errRestarted) {
		c.onEnded(End{Replica: incarnation, Evidence: Restarted, InFlight: []*Request{request}})
		return
	}
	if !connerr.ClosedByPeer(cause) {
		return
	}
	broken, kept := c.successors.keep(request, time.Now())
	if !kept {
		c.onEnded(End{Replica: incarnation, Evidence: SuccessorListed, InFlight: []*Request{request}})
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[incarnation]
	if p == nil || c.closed {
		return
	}
	p.broken = append(p.broken, broken)
	if !p.checkingEnded {
		p.checkingEnded = true
		go c.checkEnded(p)
	}
}

// checkEnded reports the broken requests to onEnded if their replica refuses connections. Requests that break during a
// check need another one: that the replica still ran before does not show whether it ended during theirs.
func (c *Client) checkEnded(p *pool) {
	for {
		broken := c.takeBroken(p)
		if len(broken) == 0 {
			return
		}
		if c.refuses(p, broken[0].Request) {
			c.reportEnded(c.successors.refused(broken), ConnectionRefused)
		}
	}
}

// ReplicaListed records that an incarnation is now listed at an address, and reports the requests whose connections to
// a former incarnation there broke.
func (c *Client) ReplicaListed(incarnation replica.Incarnation, address string) {
	c.reportEnded(c.successors.listed(incarnation, address, time.Now()), SuccessorListed)
}

// ReplicaMisdirected records that another incarnation answers at the address of this one, and reports the requests whose
// connections to this one broke.
func (c *Client) ReplicaMisdirected(incarnation replica.Incarnation) {
	c.reportEnded(c.successors.misdirected(incarnation, time.Now()), SuccessorAnswered)
}

// reportEnded reports broken requests to onEnded, by incarnation.
func (c *Client) reportEnded(broken []*brokenRequest, evidence Evidence) {
	now := time.Now()
	ends := map[replica.Incarnation]*End{}
	for _, request := range broken {
		end := ends[request.Replica]
		if end == nil {
			end = &End{Replica: request.Replica, Evidence: evidence, Delay: now.Sub(request.at)}
			ends[request.Replica] = end
		}
		end.InFlight = append(end.InFlight, request.Request)
	}
	for _, end := range ends {
		c.onEnded(*end)
	}
}

// takeBroken takes the broken requests; when there are none, the check is over.
func (c *Client) takeBroken(p *pool) []*brokenRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	taken := p.broken
	p.broken = nil
	p.checkingEnded = len(taken) > 0
	return taken
}

// refusesConnections opens a connection, within the limit if possible, and keeps it for later requests in that case.
func (c *Client) refusesConnections(p *pool, request *Request) bool {
	c.mutex.Lock()
	hasRoom := p.open < max(request.MaxConnections, 1) && !p.restarted
	if hasRoom {
		p.open++
		c.open++
	}
	c.mutex.Unlock()
	if !hasRoom {
		return c.probeRefused(request.Address)
	}
	opened := c.openConnection(request)
	if opened.err != nil {
		return connerr.Refused(opened.err)
	}
	c.release(opened.conn)
	return false
}

// probeRefused opens a connection only to see whether it is refused.
func (c *Client) probeRefused(address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	stream, err := dialer.Dial("tcp", address)
	if err != nil {
		return connerr.Refused(err)
	}
	_ = stream.Close()
	return false
}
