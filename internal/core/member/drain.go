package member

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// transmissions is how many of its messages a node lets carry one drain mark. Each node talks to 2 x
// Neighbours others, so each edge carries it once and a little more.
const transmissions = 10

// Drain is a mark that an upstream is leaving, or has stopped leaving.
type Drain struct {
	Address string
	// Version orders the marks of one address: each new sighting counts on
	// from the highest one known, so that an old mark never returns.
	Version  uint64
	Draining bool
}

// drain is a mark as held. It ends by itself after Config.DrainLife: if the
// upstream still drains, the next request sent to it says so again.
type drain struct {
	Drain
	heardAt core.Time
	sends   int
}

// renewAfter keeps a sighting that only repeats a fresh mark from being spread.
const renewAfter = 4

func (m *Machine) drainSeen(e DrainSeen) {
	held := m.drains[e.Address]
	if held == nil && !e.Draining {
		return
	}
	next := Drain{Address: e.Address, Version: 1, Draining: e.Draining}
	if held != nil {
		fresh := m.now-held.heardAt < m.config.DrainTTL/renewAfter
		if held.Draining == e.Draining && (fresh || !e.Draining) {
			return
		}
		next.Version = held.Version + 1
	}
	m.hold(next)
}

func (m *Machine) learnDrain(mark Drain) {
	held := m.drains[mark.Address]
	if held != nil && mark.Version <= held.Version {
		return
	}
	m.hold(mark)
}

func (m *Machine) hold(mark Drain) {
	m.drains[mark.Address] = &drain{Drain: mark, heardAt: m.now, sends: transmissions}
	if !slices.Contains(m.drainQueue, mark.Address) {
		m.drainQueue = append(m.drainQueue, mark.Address)
	}
	m.drainsDirty = true
}

// drainNews takes marks off the queue for one message.
func (m *Machine) drainNews() []Drain {
	var list []Drain
	for range len(m.drainQueue) {
		if len(list) >= m.config.MaxDrains {
			break
		}
		address := m.drainQueue[0]
		m.drainQueue = m.drainQueue[1:]
		held := m.drains[address]
		if held == nil {
			continue
		}
		held.sends--
		if held.sends > 0 {
			m.drainQueue = append(m.drainQueue, address)
		}
		list = append(list, held.Drain)
	}
	return list
}

// expireDrains ends marks that were not renewed. The version is remembered for
// as long again, so that copies still on their way do not bring the mark back.
func (m *Machine) expireDrains() {
	for address, held := range m.drains {
		age := m.now - held.heardAt
		if age >= 2*m.config.DrainTTL {
			delete(m.drains, address)
			continue
		}
		if age >= m.config.DrainTTL && held.Draining {
			held.Draining = false
			held.sends = 0
			m.drainQueue = slices.DeleteFunc(m.drainQueue, func(queued string) bool { return queued == address })
			m.drainsDirty = true
		}
	}
}

func (m *Machine) publishDrains() {
	if !m.drainsDirty {
		return
	}
	m.drainsDirty = false
	var addresses []string
	for address, held := range m.drains {
		if held.Draining {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	m.act(PublishDrains{Addresses: addresses})
}

// repeatDrains spreads the marks again that hold. A node that joins after they
// were spread would not know of them, and send new work to a leaving upstream.
func (m *Machine) repeatDrains() {
	var again []string
	for address, held := range m.drains {
		if held.Draining {
			held.sends = transmissions
			again = append(again, address)
		}
	}
	slices.Sort(again)
	for _, address := range again {
		if !slices.Contains(m.drainQueue, address) {
			m.drainQueue = append(m.drainQueue, address)
		}
	}
}
