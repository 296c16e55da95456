package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	. "github.com/pistachiopier/pistachiopier/internal/core/member"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// linkIdle is how long a link without messages is kept, stopTook the time from the announcement of a planned stop to
	// its end, startTook the time until the process runs again.
	linkIdle  = 15 * time.Second
	stopTook  = 3400 * time.Millisecond
	startTook = time.Second
)

// linkCount counts the links that messages open: a message over a link that was idle for longer, or whose other end has
// stopped since, opens one.
type linkCount struct {
	network *network
	opened  int
	lastUse map[[2]core.NodeID]core.Time
}

func countLinks(w *network) *linkCount {
	c := &linkCount{network: w, lastUse: map[[2]core.NodeID]core.Time{}}
	w.onSend = func(from, to *node) {
		link := [2]core.NodeID{from.ID, to.ID}
		last, used := c.lastUse[link]
		if !used || w.now-last >= linkIdle || to.ending {
			c.opened++
		}
		c.lastUse[link] = w.now
	}
	return c
}

// end ends all links to a node and tells the nodes at their other ends.
func (c *linkCount) end(n *node) {
	for link, last := range c.lastUse {
		if link[1] != n.ID {
			continue
		}
		delete(c.lastUse, link)
		if other := c.network.byID[link[0]]; !other.stopped && c.network.now-last < linkIdle {
			c.network.after(time.Millisecond, func() { c.network.step(other, RequestsFailed{Node: n.ID}) })
		}
	}
}

// rollingRestart stops and starts nodes in turn. A stopping node refuses links shortly before its process ends.
func (w *network) rollingRestart(links *linkCount, nodes []*node, gap time.Duration) {
	for i, n := range nodes {
		w.after(time.Duration(i)*gap, func() {
			w.step(n, Leave{})
			w.after(stopTook, func() {
				n.ending = true
				links.end(n)
			})
			w.after(stopTook+startTook, func() {
				n.stopped = true
				w.restart([]*node{n})
			})
		})
	}
	w.run(time.Duration(len(nodes))*gap + stopTook + startTook + settle)
}

// Guards against a planned stop that every node of the fleet checks: each check opens links, and 118 stops in turn cost 295
// nodes hundreds of megabytes between data centres.
func TestARollingRestartOpensFewLinks(t *testing.T) {
	t.Parallel()
	w := largeFleet()
	require.Less(t, w.runUntil(time.Minute, w.complete), 10*time.Second)
	w.run(settle)
	links := countLinks(w)
	w.run(settle)
	const restarts, gap = 118, 190 * time.Millisecond
	messages, opened, bytes := w.messages, links.opened, w.crossDataCentreBytes
	w.rollingRestart(links, slices.Clone(w.nodes[10:10+restarts]), gap)
	messagesEach, openedEach := (w.messages-messages)/restarts, (links.opened-opened)/restarts
	t.Logf("each restart: %d messages and %d links opened, %.0f KB between data centres", messagesEach, openedEach, float64(w.crossDataCentreBytes-bytes)/restarts/1e3)
	// A restart concerns the neighbours of the node, and each of these takes up one other node.
	const mostLinks = 50
	require.Less(t, openedEach, mostLinks)
	require.Less(t, w.runUntil(time.Minute, w.complete), 15*time.Second, "all nodes are known again")
}
