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

// HealthState is a node's ability to serve.
type HealthState string

// The states of a node.
const (
	HealthStarting HealthState = "starting"
	HealthReady    HealthState = "ready"
	HealthDegraded HealthState = "degraded"
	HealthDraining HealthState = "draining"
)

// Health says whether the node can serve, and why not.
type Health struct {
	State HealthState `json:"state"`
	Why   string      `json:"why,omitempty"`
}

// Problem is one condition that an operator should see. Times are ages: clocks
// of two nodes are never compared.
type Problem struct {
	Kind       string `json:"kind"`
	Subject    string `json:"subject"`
	Detail     string `json:"detail"`
	FirstAgeMs int64  `json:"first_age_ms"`
	LastAgeMs  int64  `json:"last_age_ms"`
	Count      uint64 `json:"count"`
}

// NodeProblems are the problems that one node sees.
type NodeProblems struct {
	Node     core.NodeID `json:"node"`
	Problems []Problem   `json:"problems"`
}

// NoAnswer is a node whose problems could not be had.
type NoAnswer struct {
	Node core.NodeID `json:"node"`
	Why  string      `json:"why"`
}

// ProblemsReport lists the problems of one node or of the fleet. A node in
// NoAnswer may have any problem.
type ProblemsReport struct {
	Nodes    []NodeProblems `json:"nodes"`
	NoAnswer []NoAnswer     `json:"no_answer,omitempty"`
}

// Count is the number of problems listed.
func (r ProblemsReport) Count() int {
	count := 0
	for _, node := range r.Nodes {
		count += len(node.Problems)
	}
	return count
}

// NodeAddress is one node of the view or the VM list, for operators.
type NodeAddress struct {
	Node            core.NodeID `json:"node"`
	DataCentre      string      `json:"data_centre"`
	OperatorAddress string      `json:"operator_address"`
}

// OperatorOptions is what the operators' interface needs of the node.
type OperatorOptions struct {
	Log logrus.FieldLogger
	// BodyTimeout bounds the time in which a body arrives, though none is read.
	BodyTimeout time.Duration
	Health      func() Health
	Status      func() any
	Dump        func() any
	// Nodes lists the nodes of the view and of the VM list.
	Nodes func() []NodeAddress
	// Problems lists this node's problems, FleetProblems those of all nodes.
	Problems      func() ProblemsReport
	FleetProblems func(ctx context.Context) (ProblemsReport, error)
	// Metrics writes the text exposition format.
	Metrics func(out io.Writer)
}

const metricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// NewOperatorHandler makes the handler of the operators' interface.
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
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, report)
}
