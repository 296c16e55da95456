package api

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Health says whether the node can serve, and why not.
type Health struct {
	// State is "starting", "ready", "degraded" or "draining".
	State string `json:"state"`
	Why   string `json:"why,omitempty"`
}

// OperatorParts is what the operators' interface needs of the node.
type OperatorParts struct {
	Health func() Health
	Status func() any
	Dump   func() any
}

// NewOperator makes the handler of the operators' interface.
func NewOperator(parts OperatorParts) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/v1/health", func(c *gin.Context) {
		health := parts.Health()
		code := http.StatusOK
		if health.State == "starting" || health.State == "draining" {
			code = http.StatusServiceUnavailable
		}
		c.JSON(code, health)
	})
	router.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Status()) })
	router.GET("/v1/dump", func(c *gin.Context) { c.JSON(http.StatusOK, parts.Dump()) })
	return router
}
