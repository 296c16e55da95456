package query

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Machine is one question's state. It is not safe for concurrent use.
type Machine struct {
	plan    *Plan
	options Options
	needs   []needState
	sends   map[SendID]*sendState
	// target is the version asked for; 0 until a first part names one.
	target   core.Version
	nextSend SendID
	switches int
	dropped  int
	finished bool
	actions  []Action
}

// needState is what is known of one shard.
type needState struct {
	// parts holds the shard's part for each version that answered.
	parts []versionPart
	// serves lists the versions the shard said it has; nil is not known.
	serves []core.Version
	// open counts the sends that may still bring a part at the target.
	open  int
	tries int
	// retryAt is when the shard may be offered again; 0 when not waiting.
	retryAt core.Time
	// settled is set when the shard gets no further try at the target.
	settled bool
	reason  core.Reason
}

type versionPart struct {
	version core.Version
	payload []byte
}

// sendState is a message whose shards have not all answered.
type sendState struct {
	bundle  core.BundleID
	rank    int
	version core.Version
	needs   []int
	// silentAt is when the owner counts as silent; 0 is never.
	silentAt core.Time
	heard    bool
}

// New prepares a question; the Started event begins it.
func New(plan *Plan, options Options) *Machine {
	return &Machine{
		plan:    plan,
		options: options,
		needs:   make([]needState, len(plan.Needs)),
		sends:   map[SendID]*sendState{},
		target:  options.Preferred,
	}
}

// Step takes one event at the given time and returns what to do. The slice is
// valid until the next Step.
func (m *Machine) Step(now core.Time, event Event) []Action {
	m.actions = m.actions[:0]
	if m.finished {
		return nil
	}
	switch e := event.(type) {
	case PartArrived:
		m.partArrived(now, e)
	case PartFailed:
		m.partFailed(now, e)
	case SendFailed:
		m.sendFailed(now, e)
	case Cancelled:
		m.finish(core.ReasonCancelled)
		return m.actions
	}
	m.advance(now)
	return m.actions
}

// Parts returns a service's parts at the version, for its dependents.
func (m *Machine) Parts(service int, version core.Version) []Part {
	var parts []Part
	for _, need := range m.plan.Services[service].Shards {
		if payload, ok := m.needs[need].part(version); ok {
			parts = append(parts, Part{Ref: m.plan.Needs[need].Ref, Payload: payload})
		}
	}
	return parts
}

// Plan returns the question's plan.
func (m *Machine) Plan() *Plan { return m.plan }

func (n *needState) part(version core.Version) ([]byte, bool) {
	for _, part := range n.parts {
		if part.version == version {
			return part.payload, true
		}
	}
	return nil, false
}

// canServe reports whether the shard has, or may have, the version.
func (n *needState) canServe(version core.Version) bool {
	if _, ok := n.part(version); ok {
		return true
	}
	return n.serves == nil || slices.Contains(n.serves, version)
}

func (m *Machine) partArrived(now core.Time, e PartArrived) {
	send := m.take(e.Send, e.Need)
	if send == nil {
		m.dropped++
		return
	}
	// A part of a version that was not asked for is a crossed reply: merging
	// it would mix snapshots.
	if e.Version == 0 || send.version != 0 && send.version != e.Version {
		m.dropped++
		m.failed(now, e.Need, core.ReasonCrossedReply, 0)
		return
	}
	need := &m.needs[e.Need]
	if e.Serves != nil {
		need.serves = e.Serves
	}
	if _, ok := need.part(e.Version); ok {
		m.dropped++
		return
	}
	need.parts = append(need.parts, versionPart{version: e.Version, payload: e.Payload})
	if m.target == 0 {
		m.target = e.Version
	}
}

func (m *Machine) partFailed(now core.Time, e PartFailed) {
	send := m.take(e.Send, e.Need)
	if send == nil {
		m.dropped++
		return
	}
	if e.Serves != nil {
		m.needs[e.Need].serves = e.Serves
	}
	m.failed(now, e.Need, e.Reason, e.RetryAfter)
}

func (m *Machine) sendFailed(now core.Time, e SendFailed) {
	send := m.sends[e.Send]
	if send == nil {
		return
	}
	delete(m.sends, e.Send)
	for _, need := range send.needs {
		m.needs[need].open--
		m.failed(now, need, e.Reason, 0)
	}
}

// take removes one shard from a send and returns the send, or nil when the
// send does not wait for that shard.
func (m *Machine) take(id SendID, need int) *sendState {
	send := m.sends[id]
	if send == nil {
		return nil
	}
	at := slices.Index(send.needs, need)
	if at < 0 {
		return nil
	}
	send.heard = true
	send.needs = slices.Delete(send.needs, at, at+1)
	m.needs[need].open--
	if len(send.needs) == 0 {
		delete(m.sends, id)
	}
	return send
}

// failed records a failed try and plans the next one, if any.
func (m *Machine) failed(now core.Time, index int, reason core.Reason, retryAfter time.Duration) {
	need := &m.needs[index]
	need.reason = reason
	if need.open > 0 {
		return
	}
	if need.tries >= m.options.MaxTries || reason == core.ReasonVersionGone || reason == core.ReasonDeadline {
		need.settled = true
		return
	}
	need.retryAt = now + max(retryAfter, m.options.RetryPause)
}

// advance does all that the present state calls for.
func (m *Machine) advance(now core.Time) {
	if now >= m.options.Deadline {
		m.finish(core.ReasonDeadline)
		return
	}
	m.chooseVersion()
	m.askFallbacks(now)
	m.askReady(now)
	if m.complete() {
		m.finish(core.ReasonNone)
		return
	}
	m.actions = append(m.actions, WakeAt{At: m.nextWake()})
}

// chooseVersion moves the question to another version when the target can no
// longer cover as much as that one.
func (m *Machine) chooseVersion() {
	if m.target == 0 || m.switches >= m.options.MaxSwitches {
		return
	}
	best, bestReach := m.target, m.reach(m.target)
	for _, version := range m.knownVersions() {
		reach := m.reach(version)
		if reach > bestReach || reach == bestReach && version > best && bestReach < len(m.needs) {
			best, bestReach = version, reach
		}
	}
	if best == m.target {
		return
	}
	m.target = best
	m.switches++
	m.abandonSends()
	for i := range m.needs {
		m.needs[i].settled = false
		m.needs[i].retryAt = 0
		m.needs[i].tries = 0
	}
}

// reach counts the shards that have or may have the version.
func (m *Machine) reach(version core.Version) int {
	count := 0
	for i := range m.needs {
		if m.needs[i].canServe(version) {
			count++
		}
	}
	return count
}

func (m *Machine) knownVersions() []core.Version {
	var versions []core.Version
	for i := range m.needs {
		for _, version := range m.needs[i].serves {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	slices.Sort(versions)
	return versions
}

// abandonSends withdraws the sends for other versions than the target.
func (m *Machine) abandonSends() {
	for _, id := range m.sendIDs() {
		send := m.sends[id]
		if send.version == m.target {
			continue
		}
		for _, need := range send.needs {
			m.needs[need].open--
		}
		delete(m.sends, id)
		m.actions = append(m.actions, CancelSend{ID: id})
	}
}

// askFallbacks sends the shards of a silent owner to the next node in the
// bundle's order. A paused or cut-off owner shows only by its silence; the
// connections that owners leave unused make a second one safe.
func (m *Machine) askFallbacks(now core.Time) {
	for _, id := range m.sendIDs() {
		send := m.sends[id]
		if send.heard || send.silentAt == 0 || now < send.silentAt {
			continue
		}
		send.silentAt = 0
		m.send(now, send.bundle, send.rank+1, send.needs)
	}
}

// askReady sends every shard that is due, one message for each bundle.
func (m *Machine) askReady(now core.Time) {
	groups := map[core.BundleID][]int{}
	var order []core.BundleID
	for index := range m.plan.Needs {
		if !m.due(now, index) {
			continue
		}
		bundle := m.plan.Needs[index].Bundle
		if groups[bundle] == nil {
			order = append(order, bundle)
		}
		groups[bundle] = append(groups[bundle], index)
	}
	for _, bundle := range order {
		m.send(now, bundle, m.rankFor(groups[bundle]), groups[bundle])
	}
}

// rankFor asks another node once the owner was found unreachable.
func (m *Machine) rankFor(needs []int) int {
	for _, index := range needs {
		reason := m.needs[index].reason
		if reason == core.ReasonPeerLost || reason == core.ReasonPeerUnreached {
			return m.needs[index].tries
		}
	}
	return 0
}

func (m *Machine) due(now core.Time, index int) bool {
	need := &m.needs[index]
	if need.settled || need.open > 0 || need.retryAt > now {
		return false
	}
	if _, ok := need.part(m.target); ok && m.target != 0 {
		return false
	}
	if m.target == 0 && len(need.parts) > 0 {
		return false
	}
	return m.dependenciesSettled(m.plan.Needs[index].Service)
}

// dependenciesSettled reports whether the service may be asked. A service with
// dependencies waits for a known version, so that all it is given and all it
// answers are of that version.
func (m *Machine) dependenciesSettled(service int) bool {
	for _, dependency := range m.plan.Services[service].DependsOn {
		for _, need := range m.plan.Services[dependency].Shards {
			if !m.needSettled(need) {
				return false
			}
		}
	}
	return true
}

func (m *Machine) needSettled(index int) bool {
	need := &m.needs[index]
	if need.settled {
		return true
	}
	_, ok := need.part(m.target)
	return ok && m.target != 0
}

func (m *Machine) send(now core.Time, bundle core.BundleID, rank int, needs []int) {
	m.nextSend++
	state := &sendState{bundle: bundle, rank: rank, version: m.target, needs: slices.Clone(needs)}
	if m.options.FallbackAfter > 0 {
		state.silentAt = now + m.options.FallbackAfter
	}
	m.sends[m.nextSend] = state
	for _, index := range needs {
		need := &m.needs[index]
		need.open++
		need.tries++
		need.retryAt = 0
	}
	m.actions = append(m.actions, Send{
		ID:       m.nextSend,
		Bundle:   bundle,
		Rank:     rank,
		Version:  m.target,
		TimeLeft: m.options.Deadline - now,
		Needs:    slices.Clone(needs),
	})
}

// complete reports whether nothing more can or need be waited for.
func (m *Machine) complete() bool {
	answered, settled := 0, 0
	for index := range m.needs {
		if _, ok := m.needs[index].part(m.target); ok && m.target != 0 {
			answered++
			continue
		}
		if m.needs[index].settled {
			settled++
		}
	}
	if answered+settled == len(m.needs) {
		return true
	}
	if m.options.Preference != PreferEarly || m.options.LeastCoverage <= 0 {
		return false
	}
	return float64(answered) >= m.options.LeastCoverage*float64(len(m.needs))
}

func (m *Machine) nextWake() core.Time {
	wake := m.options.Deadline
	for i := range m.needs {
		if at := m.needs[i].retryAt; at > 0 && at < wake {
			wake = at
		}
	}
	for _, send := range m.sends {
		if !send.heard && send.silentAt > 0 && send.silentAt < wake {
			wake = send.silentAt
		}
	}
	return wake
}

// finish draws the answer from the version that covers most, the newest of
// equals.
func (m *Machine) finish(reason core.Reason) {
	m.finished = true
	for _, id := range m.sendIDs() {
		m.actions = append(m.actions, CancelSend{ID: id})
	}
	version := m.bestVersion()
	answer := Answer{Version: version, Sends: int(m.nextSend), Switches: m.switches, Dropped: m.dropped}
	answer.Coverage.Asked = len(m.needs)
	for index := range m.needs {
		ref := m.plan.Needs[index].Ref
		payload, ok := m.needs[index].part(version)
		if ok && version != 0 {
			answer.Parts = append(answer.Parts, Part{Ref: ref, Payload: payload})
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, Missing{Ref: ref, Reason: m.missingReason(index, reason)})
	}
	answer.Coverage.Answered = len(answer.Parts)
	m.actions = append(m.actions, Finish{Answer: answer})
}

func (m *Machine) missingReason(index int, reason core.Reason) core.Reason {
	need := &m.needs[index]
	switch {
	case need.settled || need.reason != core.ReasonNone:
		return need.reason
	case len(need.parts) > 0:
		return core.ReasonVersionGone
	case reason != core.ReasonNone:
		return reason
	default:
		return core.ReasonNotAsked
	}
}

func (m *Machine) bestVersion() core.Version {
	counts := map[core.Version]int{}
	best := m.target
	for i := range m.needs {
		for _, part := range m.needs[i].parts {
			counts[part.version]++
		}
	}
	for version, count := range counts {
		if count > counts[best] || count == counts[best] && version > best {
			best = version
		}
	}
	return best
}

// sendIDs lists the open sends in order, so that actions are deterministic.
func (m *Machine) sendIDs() []SendID {
	ids := make([]SendID, 0, len(m.sends))
	for id := range m.sends {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
