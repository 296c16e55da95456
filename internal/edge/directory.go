package edge

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/pistachiopier/pistachiopier/internal/core/relief"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/platform"
)

// addressTTLSeconds is how long callers are asked to cache a list of addresses. Some cache it three times as
// long, and a stopping node keeps serving for that time.
const addressTTLSeconds = 1

// directoryHandler returns the addresses that callers connect to.
func (n *Node) directoryHandler() http.Handler {
	router := newRouter()
	router.GET(platform.PathResolve, func(c *gin.Context) {
		addresses := n.addresses(platform.CallerDataCentre(c.Query))
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.JSON(http.StatusOK, platform.Addresses{Addresses: addresses, TTLSeconds: addressTTLSeconds})
	})
	return router
}

// readinessHandler reports whether this node accepts callers.
func (n *Node) readinessHandler() http.Handler {
	router := newRouter()
	router.GET(platform.PathReady, func(c *gin.Context) {
		if !n.AcceptsCallers() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}

// AcceptsCallers reports whether callers should use this node: it has a configuration and is not about to
// stop.
func (n *Node) AcceptsCallers() bool { return !n.stopping.Load() && n.state.config.Load() != nil }

// operatorHandler serves the metrics and the state dump.
func (n *Node) operatorHandler() http.Handler {
	router := newRouter()
	router.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "text/plain; version=0.0.4")
		n.updateBudgetGauges()
		observe.WriteText(c.Writer, n.metrics.reg)
	})
	router.GET("/dump", func(c *gin.Context) { c.JSON(http.StatusOK, n.dump()) })
	return router
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// maxAddresses bounds the addresses in one answer.
const maxAddresses = 64

// addresses lists the nodes that callers of a data centre should use: those in the data centre, else those in
// its region, else all. Callers cache the list for a second, so that a caller whose only node fails soon gets
// the others. Entries that ask for relief are left out of some answers while others have room.
func (n *Node) addresses(dataCentre string) []string {
	regions := n.settings.Load().Regions
	var near, region, all []relief.Entry
	for _, node := range n.currentEntries() {
		entry := relief.Entry{Address: node.CallerAddress, Overloaded: n.views.Draining(node.CallerAddress)}
		all = append(all, entry)
		if regions[node.DataCentre] == regions[dataCentre] {
			region = append(region, entry)
		}
		if node.DataCentre == dataCentre {
			near = append(near, entry)
		}
	}
	for _, group := range [][]relief.Entry{near, region, all} {
		if len(group) > 0 {
			addresses := relief.Select(group, region, rand.Float64)
			return addresses[:min(len(addresses), maxAddresses)]
		}
	}
	return nil
}

// selectEntries selects the nodes that callers are sent to. A few strong nodes are better than many weak
// ones: each keeps its connections to replicas warm and learns the state of replicas from its own requests.
// Data centres with less than half as many replicas of shards as the largest one are left out.
func (n *Node) selectEntries() []route.Node {
	nodes := n.nodesWithAddress()
	counts := n.countShardReplicas()
	maxCount := 0
	for _, count := range counts {
		maxCount = max(maxCount, count)
	}
	var candidates []route.Node
	for _, node := range nodes {
		if 2*counts[node.DataCentre] >= maxCount {
			candidates = append(candidates, node)
		}
	}
	if maxCount == 0 || len(candidates) == 0 {
		candidates = nodes
	}
	return selectStrong(candidates)
}

const (
	// strongWeightShare is the share of the greatest weight from which a node counts as strong.
	strongWeightShare = 0.5
	// minWeightShare is the minimum share of the total weight that the selected nodes have, so that the loss
	// of strong nodes does not overload the remaining ones.
	minWeightShare = 0.15
)

// selectStrong selects the strong nodes, and further ones in the order of their weight while the selected
// weight is too small.
func selectStrong(nodes []route.Node) []route.Node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b route.Node) int { return cmp.Compare(b.Weight, a.Weight) })
	totalWeight := 0.0
	for _, node := range sorted {
		totalWeight += float64(node.Weight)
	}
	selectedWeight := 0.0
	for i, node := range sorted {
		strong := float64(node.Weight) >= strongWeightShare*float64(sorted[0].Weight)
		if !strong && selectedWeight >= minWeightShare*totalWeight {
			return sorted[:i]
		}
		selectedWeight += float64(node.Weight)
	}
	return sorted
}

// nodesWithAddress lists the live nodes whose caller addresses are known. Only the peer address of a seed is
// known until it has answered. Before the first view this node knows itself alone.
func (n *Node) nodesWithAddress() []route.Node {
	if len(n.view().Nodes()) == 0 && !n.stopping.Load() {
		return []route.Node{n.views.Self()}
	}
	var nodes []route.Node
	for _, node := range n.view().Nodes() {
		if node.CallerAddress != "" {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// countShardReplicas counts the replicas of gathered services by data centre.
func (n *Node) countShardReplicas() map[string]int {
	config := n.state.config.Load()
	if config == nil {
		return nil
	}
	gathered := config.GatheredServices()
	counts := map[string]int{}
	n.state.mutex.Lock()
	defer n.state.mutex.Unlock()
	n.state.outlook.Replicas.Each(func(r replica.Replica) {
		if gathered[r.Service] && !r.Draining {
			counts[r.DataCentre]++
		}
	})
	return counts
}
