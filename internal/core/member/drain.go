package member

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// drainTransmissions is how many messages of a node carry one drain mark. Each node exchanges
// messages with 2 x Neighbours others, so that each link carries the mark slightly more than once.
const drainTransmissions = 10

// maxJoinDrains bounds the marks sent to a node that starts. It keeps the message below the size that receivers accept.
const maxJoinDrains = 256

// Drain is a mark that an upstream is draining, or has stopped draining.
type Drain struct {
	Address string
	// Version orders the marks of one address. A new observation increments the highest known
	// version, so that an outdated mark cannot return.
	Version  uint64
	Draining bool
}

// storedDrain is a drain mark with its local state. It expires after Config.DrainTTL; if the
// upstream still drains, its reply to the next request renews the mark.
type storedDrain struct {
	Drain
	updatedAt      core.Time
	remainingSends int
}

// drainRenewDivisor sets the part of DrainTTL during which a repeated observation is not spread
// again.
const drainRenewDivisor = 4

func (m *Machine) drainSeen(e DrainSeen) {
	held := m.drains[e.Address]
	if held == nil && !e.Draining {
		return
	}
	next := Drain{Address: e.Address, Version: 1, Draining: e.Draining}
	if held != nil {
		fresh := m.now-held.updatedAt < m.config.DrainTTL/drainRenewDivisor
		if held.Draining == e.Draining && (fresh || !e.Draining) {
			return
		}
		next.Version = held.Version + 1
	}
	m.storeDrain(next)
}

func (m *Machine) receiveDrain(mark Drain) {
	held := m.drains[mark.Address]
	if held != nil && mark.Version <= held.Version {
		return
	}
	m.storeDrain(mark)
}

func (m *Machine) storeDrain(mark Drain) {
	m.drains[mark.Address] = &storedDrain{Drain: mark, updatedAt: m.now, remainingSends: drainTransmissions}
	if !slices.Contains(m.drainQueue, mark.Address) {
		m.drainQueue = append(m.drainQueue, mark.Address)
	}
	m.drainsChanged = true
}

// nextDrains takes the marks for one message off the queue.
func (m *Machine) nextDrains() []Drain {
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
		held.remainingSends--
		if held.remainingSends > 0 {
			m.drainQueue = append(m.drainQueue, address)
		}
		list = append(list, held.Drain)
	}
	return list
}

// activeDrains lists the active marks, for a node that may know none.
func (m *Machine) activeDrains() []Drain {
	var list []Drain
	for _, held := range m.drains {
		if held.Draining && len(list) < maxJoinDrains {
			list = append(list, held.Drain)
		}
	}
	return list
}

// expireDrains ends marks that were not renewed. The version is kept for another DrainTTL, so that
// copies still in transit do not restore the mark.
func (m *Machine) expireDrains() {
	for address, held := range m.drains {
		age := m.now - held.updatedAt
		if age >= 2*m.config.DrainTTL {
			delete(m.drains, address)
			continue
		}
		if age >= m.config.DrainTTL && held.Draining {
			held.Draining = false
			held.remainingSends = 0
			m.drainQueue = slices.DeleteFunc(m.drainQueue, func(queued string) bool { return queued == address })
			m.drainsChanged = true
		}
	}
}

func (m *Machine) publishDrains() {
	if !m.drainsChanged {
		return
	}
	m.drainsChanged = false
	var addresses []string
	for address, held := range m.drains {
		if held.Draining {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	m.emit(PublishDrains{Addresses: addresses})
}

// resendDrains queues all active marks again. A node that joined after they were spread would
// otherwise send new work to a draining upstream.
func (m *Machine) resendDrains() {
	var active []string
	for address, held := range m.drains {
		if held.Draining {
			held.remainingSends = drainTransmissions
			active = append(active, address)
		}
	}
	slices.Sort(active)
	for _, address := range active {
		if !slices.Contains(m.drainQueue, address) {
			m.drainQueue = append(m.drainQueue, address)
		}
	}
}
