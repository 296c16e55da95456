package owner

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const (
	// brokenSendTimeout is how long after a connection broke an answer to another request shows that the replica has
	// ended under the first one. Replicas with little work answer seldom.
	brokenSendTimeout = time.Minute
	// maxBrokenSends bounds the broken sends that are kept: each holds its request.
	maxBrokenSends = 256
)

// brokenSend is a call whose connection broke although the address still accepted connections.
type brokenSend struct {
	address     string
	incarnation replica.Incarnation
	requestID   string
	// observations begins with that of the shard that the call was for.
	observations []observation
	at           core.Time
}

// brokenSends finds the ends of replicas that are restarted at once. Such a replica refuses no connection, and the upstream
// protocol names no incarnation. What is left is that a request broke off at an address that then answered another one.
//
// A single lost reply looks the same. It makes its request suspect until the next answer; only a request that breaks off
// again and again, alone and unanswered, while others are answered, is set aside. Where the network or the replica breaks
// off any request, most breaks at the address are without the one in question, and then its breaks are no ends.
type brokenSends struct {
	mutex sync.Mutex
	// kept are in the order of their breaks.
	kept []brokenSend
	// breaks are the breaks that an answer followed, in the order of the answers.
	breaks []confirmedBreak
	// ends counts the ends found so far, so that each is a fact of its own.
	ends uint64
}

// confirmedBreak is a time without answers at an address in which requests broke off.
type confirmedBreak struct {
	address  string
	requests map[quarantine.Key]bool
	at       core.Time
}

func (b *brokenSends) empty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.kept) == 0
}

func (b *brokenSends) keep(broken brokenSend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.kept = append(b.kept, broken)
	b.kept = b.kept[max(len(b.kept)-maxBrokenSends, 0):]
}

// answered removes the sends of the answered request to the shard, and returns those of other requests that broke off at the
// address and ended the replica. All of them ended the same incarnation, because nothing was answered there in between.
func (b *brokenSends) answered(request quarantine.Key, shard, address string, now core.Time) []brokenSend {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	followed := confirmedBreak{address: address, requests: map[quarantine.Key]bool{}, at: now}
	var taken []brokenSend
	b.kept = slices.DeleteFunc(b.kept, func(broken brokenSend) bool {
		switch {
		case now-broken.at >= brokenSendTimeout:
			return true
		case broken.request() == request:
			return broken.shard() == shard
		case broken.address != address:
			return false
		}
		broken.incarnation.ID += " until end " + strconv.FormatUint(b.ends, 10)
		followed.requests[broken.request()] = true
		taken = append(taken, broken)
		return true
	})
	if len(taken) == 0 {
		return nil
	}
	b.ends++
	b.addBreak(followed)
	return slices.DeleteFunc(taken, func(broken brokenSend) bool { return !b.isMostlyWith(broken.request(), address) })
}

func (b *brokenSends) addBreak(added confirmedBreak) {
	b.breaks = slices.DeleteFunc(b.breaks, func(known confirmedBreak) bool { return added.at-known.at >= brokenSendTimeout })
	b.breaks = append(b.breaks, added)
	b.breaks = b.breaks[max(len(b.breaks)-maxBrokenSends, 0):]
}

// isMostlyWith reports whether the request was among those that broke off at the address in at least half of the breaks.
func (b *brokenSends) isMostlyWith(request quarantine.Key, address string) bool {
	with, without := 0, 0
	for _, known := range b.breaks {
		switch {
		case known.address != address:
		case known.requests[request]:
			with++
		default:
			without++
		}
	}
	return with >= without
}

func (b brokenSend) request() quarantine.Key { return b.observations[0].identity.Names().Exact }

func (b brokenSend) shard() string { return b.observations[0].shard }
