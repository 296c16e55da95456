package api

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// HealthState states whether a node can serve.
type HealthState string

// The health states of a node.
const (
	HealthStarting HealthState = "starting"
	HealthReady    HealthState = "ready"
	HealthDegraded HealthState = "degraded"
	HealthDraining HealthState = "draining"
)

// Health is a node's health state, with the reason unless it is ready.
type Health struct {
	State HealthState `json:"state"`
	Why   string      `json:"why,omitempty"`
}

// Problem is a condition that an operator should know about. Times are given as
// ages, since the clocks of two nodes are never compared.
type Problem struct {
	Kind       string `json:"kind"`
	Subject    string `json:"subject"`
	Detail     string `json:"detail"`
	FirstAgeMs int64  `json:"first_age_ms"`
	LastAgeMs  int64  `json:"last_age_ms"`
	Count      uint64 `json:"count"`
}

// NodeProblems lists the problems that one node reports.
type NodeProblems struct {
	Node     core.NodeID `json:"node"`
	Problems []Problem   `json:"problems"`
}

// NoAnswer is a node whose problems could not be fetched.
type NoAnswer struct {
	Node core.NodeID `json:"node"`
	Why  string      `json:"why"`
}

// ProblemsReport lists the problems of one node or of the fleet. The problems of
// the nodes in NoAnswer are unknown.
type ProblemsReport struct {
	Nodes    []NodeProblems `json:"nodes"`
	NoAnswer []NoAnswer     `json:"no_answer,omitempty"`
}

// Count returns the number of problems listed.
func (r ProblemsReport) Count() int {
	count := 0
	for _, node := range r.Nodes {
		count += len(node.Problems)
	}
	return count
}

// NodeAddress is a node of the view or of the VM list, with its address for operators.
type NodeAddress struct {
	Node            core.NodeID `json:"node"`
	DataCentre      string      `json:"data_centre"`
	OperatorAddress string      `json:"operator_address"`
}

// OperatorOptions holds the parts of the node that the operator interface uses.
type OperatorOptions struct {
	Log logrus.FieldLogger
	// BodyTimeout limits the time in which a request body must arrive, although no handler reads one.
	BodyTimeout time.Duration
	Health      func() Health
	Status      func() any
	Dump        func() any
	// Nodes returns the nodes of the view and of the VM list.
	Nodes func() []NodeAddress
	// Problems returns this node's problems, FleetProblems those of all nodes.
	Problems      func() ProblemsReport
	FleetProblems func(ctx context.Context) (ProblemsReport, error)
	// Metrics writes the metrics in the text exposition format.
	Metrics func(out io.Writer)
}

const metricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// NewOperatorHandler returns the handler of the operator interface.
func NewOperatorHandler(parts OperatorOptions) http.Handler {
	router := newRouter(parts.Log, parts.BodyTimeout)
	router.GET("/v1/health", parts.health)
	router.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Status()) })
	router.GET("/v1/dump", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Dump()) })
	router.GET("/v1/nodes", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Nodes()) })
	router.GET("/v1/problems", parts.problems)
	router.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", metricsContentType)
		parts.Metrics(c.Writer)
	})
	return router
}

func (p OperatorOptions) health(c *gin.Context) {
	health := p.Health()
	code := http.StatusOK
	if health.State == HealthStarting || health.State == HealthDraining {
		code = http.StatusServiceUnavailable
	}
	c.JSON(code, health)
}

func (p OperatorOptions) problems(c *gin.Context) {
	if c.Query("fleet") == "" {
		c.JSON(http.StatusOK, p.Problems())
		return
	}
	report, err := p.FleetProblems(c.Request.Context())
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, report)
}
