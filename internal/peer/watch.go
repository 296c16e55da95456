package peer

import (
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Times of the links' liveness checks. A link that has gone silent is replaced
// at the latest silentAfter + checkWait + 2 watchEvery after a request was
// written to it: 2.5 s.
const (
	watchEvery = 250 * time.Millisecond
	// silentAfter is how long a written request may see nothing come back, from
	// any request, before the link is checked.
	silentAfter = time.Second
	// checkWait is how long the answer to a check may take.
	checkWait = time.Second
	// idleLink is how long a link without requests is kept unless the pool says otherwise.
	idleLink = time.Minute
	// newsEvery is how often a link that answers is told of.
	newsEvery = time.Second
)

// LinkState is what became known of a link.
type LinkState uint8

// The states of a link that are told to the listener.
const (
	// LinkAnswering means that a reply came within the last second or so.
	LinkAnswering LinkState = iota
	// LinkLost means that the link could not be opened or broke.
	LinkLost
	// LinkSilent means that the link looked open, answered nothing and was
	// replaced.
	LinkSilent
)

// LinkEvent is evidence about a peer from requests to it.
type LinkEvent struct {
	Peer  Target
	State LinkState
}

// OnLink sets the listener, which must not block.
func (p *Pool) OnLink(listener func(LinkEvent)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.onLink = listener
}

func (p *Pool) tell(news LinkEvent) {
	p.mutex.Lock()
	listener := p.onLink
	p.mutex.Unlock()
	if listener != nil {
		listener(news)
	}
}

// linkWatch is what a link remembers of its liveness, under the link's mutex.
type linkWatch struct {
	usedAt  time.Time
	heardAt time.Time
	// waitingSince is when a request was written with nothing heard since.
	waitingSince time.Time
	checkedAt    time.Time
	toldAt       time.Time
}

func (w *linkWatch) wrote() {
	if w.waitingSince.IsZero() {
		w.waitingSince = time.Now()
	}
}

func (w *linkWatch) heard() {
	w.heardAt = time.Now()
	w.waitingSince = time.Time{}
	w.checkedAt = time.Time{}
}

// verdict is what a look at a link asks for.
type verdict uint8

const (
	verdictFine verdict = iota
	verdictTell
	verdictCheck
	verdictSilent
	verdictIdle
)

func (p *Pool) watch() {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range p.snapshot() {
			l.sample()
			p.look(l)
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

// look checks one link. A link can go silent for good while it looks open:
// something between the ends has lost track of its flow, and what is written
// vanishes, while a new link works. QUIC itself would wait for its idle timeout,
// and requests with it. So a request that sees nothing come back leads to a
// check that the peer's transport answers at once; without an answer the link
// is replaced, by one from another port, since the flow is known by its ports.
func (p *Pool) look(l *link) {
	switch l.judge(time.Now()) {
	case verdictTell:
		p.tell(LinkEvent{Peer: l.target, State: LinkAnswering})
	case verdictCheck:
		l.out.TryPut(helloEnvelope(p.self))
	case verdictSilent:
		p.remember(l.target.Address, errSilent)
		p.forget(l)
		l.cancel(errSilent)
	case verdictIdle:
		if l.retire() {
			p.forget(l)
			l.cancel(errIdle)
		}
	}
}

func (l *link) judge(now time.Time) verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w := &l.watch
	if len(l.calls) == 0 {
		w.waitingSince = time.Time{}
		w.checkedAt = time.Time{}
	}
	switch {
	case !w.checkedAt.IsZero() && now.Sub(w.checkedAt) >= checkWait:
		return verdictSilent
	case w.checkedAt.IsZero() && !w.waitingSince.IsZero() && now.Sub(w.waitingSince) >= silentAfter:
		w.checkedAt = now
		return verdictCheck
	case len(l.calls) == 0 && now.Sub(w.usedAt) >= l.pool.keepIdle:
		return verdictIdle
	case w.heardAt.After(w.toldAt) && now.Sub(w.toldAt) >= newsEvery:
		w.toldAt = now
		return verdictTell
	default:
		return verdictFine
	}
}

// retire lets a link that nobody uses take no further request, unless one came
// just now.
func (l *link) retire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.calls) > 0 || l.broken != nil {
		return false
	}
	l.broken = errIdle
	return true
}

// remember notes how a link ended before the next one to the address is opened:
// after a failure that one is to use another port.
func (p *Pool) remember(address string, cause error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cause == errIdle || cause == errPoolClosed {
		delete(p.moved, address)
		return
	}
	p.moved[address] = true
}

// ended tells how a link ended.
func (p *Pool) ended(l *link, cause error) {
	if cause == errPoolClosed {
		return
	}
	switch cause {
	case errIdle:
	case errSilent:
		p.tell(LinkEvent{Peer: l.target, State: LinkSilent})
	default:
		p.tell(LinkEvent{Peer: l.target, State: LinkLost})
	}
}

// transportTo gives the pool's own transport, or after a failed link to the
// address a new one on another port.
func (p *Pool) transportTo(address string) (*quic.Transport, func(), error) {
	p.mutex.Lock()
	moved := p.moved[address]
	p.mutex.Unlock()
	if !moved {
		return p.quic, func() {}, nil
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, nil, fault.Step("open a socket towards a peer", err)
	}
	transport := &quic.Transport{Conn: udp}
	release := func() {
		_ = transport.Close()
		_ = udp.Close()
	}
	return transport, release, nil
}
