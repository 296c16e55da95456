// Package connerr classifies connection errors by what they reveal about the remote end.
package connerr

import (
	"errors"
	"io"
	"syscall"
)

// ClosedByPeer reports whether the remote end closed or reset the connection.
func ClosedByPeer(cause error) bool {
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
}

// Refused reports whether the remote host refused a new connection because nothing listens on the port.
func Refused(cause error) bool { return errors.Is(cause, syscall.ECONNREFUSED) }
