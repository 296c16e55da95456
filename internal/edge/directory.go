package edge

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/platform"
)

// keepSeconds is how long callers keep an address answer. Some keep it three times
// as long, and a node that stops serves on for all of that.
const keepSeconds = 1

// directory answers callers that ask where to connect.
func (n *Node) directory() http.Handler {
	router := newRouter()
	router.GET(platform.PathResolve, func(c *gin.Context) {
		addresses := n.addresses(platform.CallerDataCentre(c.Query))
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.JSON(http.StatusOK, platform.Addresses{Addresses: addresses, TTLSeconds: keepSeconds})
	})
	return router
}

// readiness answers whether this node takes callers.
func (n *Node) readiness() http.Handler {
	router := newRouter()
	router.GET(platform.PathReady, func(c *gin.Context) {
		if !n.TakesCallers() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}

// TakesCallers reports whether callers are to use this node: it knows a configuration and
// is not about to stop.
func (n *Node) TakesCallers() bool { return !n.stopping.Load() && n.beliefs.config.Load() != nil }

// operator serves the metrics and the state dump.
func (n *Node) operator() http.Handler {
	router := newRouter()
	router.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "text/plain; version=0.0.4")
		n.readBudgets()
		observe.WriteText(c.Writer, n.metrics.registry)
	})
	router.GET("/dump", func(c *gin.Context) { c.JSON(http.StatusOK, n.dump()) })
	return router
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// maxAddresses bounds an address answer.
const maxAddresses = 64

// addresses lists the nodes that callers of a data centre are to use: those there, else
// those of its region, else all. The answer is kept for a second, so that a caller whose
// only node is lost soon learns of the others.
func (n *Node) addresses(dataCentre string) []string {
	nodes := n.chosen()
	regions := n.settings.Load().Regions
	for _, near := range []func(route.Node) bool{
		func(one route.Node) bool { return one.DataCentre == dataCentre },
		func(one route.Node) bool { return regions[one.DataCentre] == regions[dataCentre] },
		func(route.Node) bool { return true },
	} {
		var addresses []string
		for _, one := range nodes {
			if near(one) {
				addresses = append(addresses, one.CallerAddress)
			}
		}
		if len(addresses) > 0 {
			return addresses[:min(len(addresses), maxAddresses)]
		}
	}
	return nil
}

// preferred lists the nodes that callers are sent to. Few strong nodes are better than
// many weak ones: each keeps its connections to replicas warm and knows from its own
// requests how the replicas do. Data centres without replicas of shards are left out.
func (n *Node) preferred() []route.Node {
	nodes := n.placed()
	counts := n.shardReplicas()
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	var near []route.Node
	for _, node := range nodes {
		if 2*counts[node.DataCentre] >= most {
			near = append(near, node)
		}
	}
	if most == 0 || len(near) == 0 {
		near = nodes
	}
	return strongest(near)
}

const (
	// strongShare is the weight, as a share of the greatest, from which on a node
	// counts as strong.
	strongShare = 0.5
	// leastShare is the share of the weight of all nodes that those chosen have at
	// least, so that the loss of strong nodes does not overload the last of them.
	leastShare = 0.15
)

// strongest takes the strong nodes, and further ones in the order of their weight and
// id while the chosen are too weak for the whole.
func strongest(nodes []route.Node) []route.Node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b route.Node) int { return cmp.Compare(b.Weight, a.Weight) })
	total := 0.0
	for _, node := range sorted {
		total += float64(node.Weight)
	}
	chosen := 0.0
	for i, node := range sorted {
		strong := float64(node.Weight) >= strongShare*float64(sorted[0].Weight)
		if !strong && chosen >= leastShare*total {
			return sorted[:i]
		}
		chosen += float64(node.Weight)
	}
	return sorted
}

// placed lists the live nodes whose addresses are known: a seed is known by its peer
// address alone until it has answered.
func (n *Node) placed() []route.Node {
	var placed []route.Node
	for _, node := range n.view().Nodes() {
		if node.CallerAddress != "" {
			placed = append(placed, node)
		}
	}
	return placed
}

// shardReplicas counts the replicas of gathered services in each data centre.
func (n *Node) shardReplicas() map[string]int {
	config := n.beliefs.config.Load()
	if config == nil {
		return nil
	}
	gathered := config.GatheredServices()
	counts := map[string]int{}
	n.beliefs.mutex.Lock()
	defer n.beliefs.mutex.Unlock()
	n.beliefs.outlook.Replicas.Each(func(one replica.Replica) {
		if gathered[one.Service] && !one.Draining {
			counts[one.DataCentre]++
		}
	})
	return counts
}
