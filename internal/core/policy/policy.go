// Package policy is one version of the operator's configuration of the
// forwarding tier: which request goes to which services, how long it may take
// and what callers may send.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/coldstart"
)

// Config is one version of the configuration. It is immutable once Index was
// called.
type Config struct {
	// Version is the operator's own number; versions rise in uneven steps.
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Unreadable names the routes and services that could not be read and are left out.
	Unreadable []string

	byHost map[string][]*Route
}

// Route says what is done with the requests of one host below one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once; others run at most once.
	Idempotent bool
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth to the caller.
	TargetLatency time.Duration
	// MaxReplicas bounds the replicas of one service that one request is sent to.
	MaxReplicas int
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// Shares are the services that take the requests, each its part of them.
	// They are empty on a route that gathers.
	Shares []Share
	// Regions are those whose replicas may see the requests; none is all.
	Regions []string
	// Gather is set when a request goes to one replica of each shard.
	Gather *Gather
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Gather says how the parts of all shards become one answer.
type Gather struct {
	// Shards are services; each holds one part of the index.
	Shards []string
	// TopK is the number of records of an answer.
	TopK int
	// MinCoverage is the share of shards, 0 to 1, below which an answer is a
	// failure.
	MinCoverage float64
}

// MinParts is the number of parts that an answer needs at least. A share above 1 asks for all
// of them: as it stands, no answer could ever have enough.
func (g *Gather) MinParts() int {
	// A tiny subtraction keeps 0.75 of 20 at 15 despite binary fractions.
	const roundingSlack = 1e-9
	exact := g.MinCoverage * float64(len(g.Shards))
	least := int(exact)
	if exact-float64(least) > roundingSlack {
		least++
	}
	return max(min(least, len(g.Shards)), 1)
}

// Service is what is known of a service besides its replicas.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all its callers together.
	MaxConnections int
	// Cold is what a replica bears while it is cold.
	Cold coldstart.Bound
}

// Limits bound what a caller may send and how slowly.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Index prepares the configuration for Find.
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

// Find returns the route with the longest prefix of the path among those of the
// host, or nil. A port in host is ignored.
func (c *Config) Find(host, path string) *Route {
	for _, route := range c.byHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// withoutPort cuts the port off a Host header's value; the colons of an IPv6 number lie
// within brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// GatheredServices lists the services that are shards of any route.
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
