// Package policy defines a version of the operator's configuration of the forwarding tier: which requests
// go to which services, how long they may take and what callers may send.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// Config is one version of the configuration. It is immutable after Index has been called.
type Config struct {
	// Version is the operator's version number; it increases, but not always by one.
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Unreadable names the routes and services that could not be decoded and were left out.
	Unreadable []string
	// WithoutPriority names the routes that state no valid priority and count as the least urgent.
	WithoutPriority []string

	byHost map[string][]*Route
}

// Route defines how the requests to one host below one path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once; all others run at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value to the caller.
	TargetLatency time.Duration
	// MaxReplicas bounds the number of replicas of one service that a request is sent to.
	MaxReplicas int
	// Priority ranks the route, from 0, the most urgent, to placement.LeastUrgent.
	Priority int
	// Shares lists the services with their weights. It is empty for a route with Gather set.
	Shares []Share
	// Regions names the regions whose replicas may get the requests; empty allows all.
	Regions []string
	// Gather is set if a request goes to one replica of each shard.
	Gather *Gather
}

// Share is a service's share of a route's requests, by weight.
type Share struct {
	Service string
	Weight  float64
}

// Gather defines how the parts of all shards are combined into one answer.
type Gather struct {
	// Shards names the services that each hold one part of the index.
	Shards []string
	// TopK is the number of records in an answer.
	TopK int
	// MinCoverage is the share of shards, 0 to 1, below which a request fails.
	MinCoverage float64
}

// MinParts returns the least number of parts of an answer. A MinCoverage above 1 requires all parts; taken
// literally, no answer could have enough.
func (g *Gather) MinParts() int {
	// The slack keeps 0.75 of 20 at 15 despite the rounding errors of binary fractions.
	const roundingSlack = 1e-9
	exact := g.MinCoverage * float64(len(g.Shards))
	least := int(exact)
	if exact-float64(least) > roundingSlack {
		least++
	}
	return max(min(least, len(g.Shards)), 1)
}

// Service holds the settings of a service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a replica accepts from all its callers together.
	MaxConnections int
	// Cold bounds the request rate of a cold replica.
	Cold coldstart.Bound
}

// Limits bounds the size of callers' requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Index builds the index that Find uses.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for _, route := range c.Routes {
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Find returns the host's route with the longest prefix of the path, or nil. A port in host is ignored.
func (c *Config) Find(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// withoutPort removes the port from the value of a Host header. An IPv6 address is in brackets, so that its
// colons are not taken for the port's.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// GatheredServices returns the set of services that are shards of any route.
func (c *Config) GatheredServices() map[string]bool {
	shards := map[string]bool{}
	for _, route := range c.Routes {
		if route.Gather == nil {
			continue
		}
		for _, shard := range route.Gather.Shards {
			shards[shard] = true
		}
	}
	return shards
}
