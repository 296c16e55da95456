package peer

import (
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Times of the links' liveness checks. A silent link is replaced at the latest
// silenceTimeout + checkTimeout + 2 watchInterval = 2.5 s after a request was
// written to it.
const (
	watchInterval = 250 * time.Millisecond
	// silenceTimeout is the time after writing a request without any message
	// received on the link, for whichever request, until the link is checked.
	silenceTimeout = time.Second
	// checkTimeout is the maximum time to the reply to a check.
	checkTimeout = time.Second
	// defaultLinkIdleTimeout is how long a link without requests is kept by default.
	defaultLinkIdleTimeout = time.Minute
	// answeringInterval is the minimum interval of LinkAnswering events of a link.
	answeringInterval = time.Second
)

// LinkState is the state of a link as observed from requests.
type LinkState uint8

// The states of a link that are reported to the listener.
const (
	// LinkAnswering means that a message was received within about the last second.
	LinkAnswering LinkState = iota
	// LinkLost means that the link could not be opened or broke.
	LinkLost
	// LinkSilent means that the link looked open but did not respond and was
	// replaced.
	LinkSilent
)

// LinkEvent reports the state of the link to a peer.
type LinkEvent struct {
	Peer  Target
	State LinkState
}

// OnLink sets the listener for link events. It must not block.
func (p *Pool) OnLink(listener func(LinkEvent)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.onLink = listener
}

func (p *Pool) notify(event LinkEvent) {
	p.mutex.Lock()
	listener := p.onLink
	p.mutex.Unlock()
	if listener != nil {
		listener(event)
	}
}

// linkLiveness is the liveness state of a link, guarded by the link's mutex.
type linkLiveness struct {
	lastRequestAt  time.Time
	lastReceivedAt time.Time
	// waitingSince is when the first request was written after the last message
	// received, or zero if there is none.
	waitingSince time.Time
	checkedAt    time.Time
	lastReportAt time.Time
}

func (w *linkLiveness) requestWritten() {
	if w.waitingSince.IsZero() {
		w.waitingSince = time.Now()
	}
}

func (w *linkLiveness) messageReceived() {
	w.lastReceivedAt = time.Now()
	w.waitingSince = time.Time{}
	w.checkedAt = time.Time{}
}

// linkAction is the action that a liveness check of a link results in.
type linkAction uint8

const (
	actionNone linkAction = iota
	actionReport
	actionCheck
	actionReplace
	actionClose
)

func (p *Pool) watchLinks() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range p.snapshot() {
			l.sampleTraffic()
			p.checkLink(l)
		}
	}
}

func (p *Pool) snapshot() []*link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	return links
}

// checkLink checks the liveness of one link. A link can look open while all its
// packets are lost: a device between the ends has lost track of the flow, and only
// a new link works. QUIC and its requests would wait for the idle timeout. So a
// request with no message received since triggers a check, which the peer's
// transport answers at once. Without a reply the link is replaced by one from
// another port, since devices identify a flow by its ports.
func (p *Pool) checkLink(l *link) {
	switch l.nextAction(time.Now()) {
	case actionReport:
		p.notify(LinkEvent{Peer: l.target, State: LinkAnswering})
	case actionCheck:
		l.outgoing.TryPut(helloEnvelope(p.self))
	case actionReplace:
		p.recordEnd(l.target.Address, errSilent)
		p.removeLink(l)
		l.cancel(errSilent)
	case actionClose:
		if l.retireIfUnused() {
			p.removeLink(l)
			l.cancel(errIdle)
		}
	}
}

func (l *link) nextAction(now time.Time) linkAction {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w := &l.liveness
	if len(l.calls) == 0 {
		w.waitingSince = time.Time{}
		w.checkedAt = time.Time{}
	}
	switch {
	case !w.checkedAt.IsZero() && now.Sub(w.checkedAt) >= checkTimeout:
		return actionReplace
	case w.checkedAt.IsZero() && !w.waitingSince.IsZero() && now.Sub(w.waitingSince) >= silenceTimeout:
		w.checkedAt = now
		return actionCheck
	case len(l.calls) == 0 && now.Sub(w.lastRequestAt) >= l.pool.linkIdleTimeout:
		return actionClose
	case w.lastReceivedAt.After(w.lastReportAt) && now.Sub(w.lastReportAt) >= answeringInterval:
		w.lastReportAt = now
		return actionReport
	default:
		return actionNone
	}
}

// retireIfUnused stops the link from accepting requests. It reports false if the
// link has open requests or has ended.
func (l *link) retireIfUnused() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.calls) > 0 || l.endCause != nil {
		return false
	}
	l.endCause = errIdle
	return true
}

// recordEnd records how a link ended, before the next one to the address is opened.
// After a failure the next one uses another port.
func (p *Pool) recordEnd(address string, cause error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cause == errIdle || cause == errPoolClosed || cause == errStopping {
		delete(p.needsOwnSocket, address)
		return
	}
	p.needsOwnSocket[address] = true
}

// notifyEnd reports to the listener how a link ended. That a peer stops as planned is no evidence of a failure.
func (p *Pool) notifyEnd(l *link, cause error) {
	if cause == errPoolClosed {
		return
	}
	switch cause {
	case errIdle, errStopping:
	case errSilent:
		p.notify(LinkEvent{Peer: l.target, State: LinkSilent})
	default:
		p.notify(LinkEvent{Peer: l.target, State: LinkLost})
	}
}

// transportTo returns the pool's own transport or, after a failed link to the
// address, a new one on another port.
func (p *Pool) transportTo(address string) (*quic.Transport, func(), error) {
	p.mutex.Lock()
	ownSocket := p.needsOwnSocket[address]
	p.mutex.Unlock()
	if !ownSocket {
		return p.quic, func() {}, nil
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, nil, fault.Wrap("open a socket towards a peer", err)
	}
	transport := &quic.Transport{Conn: udp}
	release := func() {
		_ = transport.Close()
		_ = udp.Close()
	}
	return transport, release, nil
}
