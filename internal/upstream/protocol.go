// Package upstream is a client of the upstreams' published HTTP protocol: each request is for
// one shard's part and has a deadline, an index version and a request id.
package upstream

import "encoding/json"

// The headers of the upstream protocol. docs/INTERFACE.md describes them.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderCustomer   = "X-Customer"
	HeaderTimeLeft   = "X-Time-Left-Ms"
	HeaderVersion    = "X-Index-Version"
	HeaderVersions   = "X-Index-Versions"
	HeaderNotRun     = "X-Not-Run"
	HeaderDraining   = "X-Draining"
	HeaderLoad       = "X-Load"
	HeaderSubmitKey  = "X-Submit-Key"
	HeaderRetryAfter = "X-Retry-After-Ms"
)

// The values of HeaderNotRun.
const (
	NotRunVersion    = "version"
	NotRunOverloaded = "overloaded"
	NotRunDraining   = "draining"
	NotRunDeadline   = "deadline"
)

// The verbs at the end of a shard's path.
const (
	VerbQuery  = "query"
	VerbSubmit = "submit"
)

// PathPrefix starts the path of every shard: PathPrefix/SERVICE/SHARD/VERB.
const PathPrefix = "/v1/shards/"

// Body is the request body.
type Body struct {
	Question     json.RawMessage `json:"question"`
	Dependencies []Dependency    `json:"dependencies,omitempty"`
}

// Dependency is a part of a service that the queried service depends on.
type Dependency struct {
	Service string          `json:"service"`
	Shard   int             `json:"shard"`
	Part    json.RawMessage `json:"part"`
}
