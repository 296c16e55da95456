package edge

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/platform"
)

// keepSeconds is how long callers keep an address answer. Some keep it three times
// as long, and a node that stops serves on for all of that.
const keepSeconds = 1

// maxAddresses bounds an address answer.
const maxAddresses = 64

// directory answers callers that ask where to connect.
func (n *Node) directory() http.Handler {
	router := newRouter()
	router.GET(platform.PathResolve, func(c *gin.Context) {
		addresses := n.addresses(platform.Asker(c.Query))
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.JSON(http.StatusOK, platform.Addresses{Addresses: addresses, KeepSeconds: keepSeconds})
	})
	return router
}

// readiness answers whether this node takes callers.
func (n *Node) readiness() http.Handler {
	router := newRouter()
	router.GET(platform.PathReady, func(c *gin.Context) {
		if n.stopping.Load() || n.beliefs.config.Load() == nil {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}

// operator serves the metrics and the state dump.
func (n *Node) operator() http.Handler {
	router := newRouter()
	router.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "text/plain; version=0.0.4")
		observe.WriteText(c.Writer, n.metrics.registry)
	})
	router.GET("/dump", func(c *gin.Context) { c.JSON(http.StatusOK, n.dump()) })
	return router
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	return gin.New()
}

// addresses lists the nodes that callers of a data centre are to use.
func (n *Node) addresses(dataCentre string) []string {
	nodes := n.preferred()
	var own, all []string
	for _, node := range nodes {
		all = append(all, node.CallerAddress)
		if node.DataCentre == dataCentre {
			own = append(own, node.CallerAddress)
		}
	}
	if len(own) >= leastOwn {
		return own[:min(len(own), maxAddresses)]
	}
	return all[:min(len(all), maxAddresses)]
}

// leastOwn is the number of nodes in a caller's own data centre from which on it is
// sent to these alone. The answer is kept for a second, so that a caller whose only
// node is lost soon learns of the others.
const leastOwn = 1

// preferred lists the live nodes in the data centres with the most replicas of
// shards: a question that enters there reaches most of its parts without crossing
// between data centres. It lists all live nodes where no data centre stands out.
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
	if most == 0 || len(near) < leastOwn {
		return nodes
	}
	return near
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
	n.beliefs.book.All(func(one replica.Replica) {
		if gathered[one.Service] && !one.Draining {
			counts[one.DataCentre]++
		}
	})
	return counts
}
