package replicaconn

import (
	"fmt"
	"net/http"
)

// Statuses of HTTP are from minStatus to maxStatus.
const (
	minStatus = 100
	maxStatus = 599
)

// StatusError is the cause of a failure with an answer that has no status of HTTP, or one that was not asked for. net/http's
// parser takes any three digits, and even a sign, for a status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the replica answered with status %03d, which is no answer to a request; those are from 200 to %d", e.Status, maxStatus)
}

// checkStatus returns an error for what is no status, and for a switch of protocols: what follows it is not HTTP.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &StatusError{Status: status}
	}
	return nil
}
