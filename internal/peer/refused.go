package peer

import (
	"errors"

	"github.com/quic-go/quic-go"
)

// CertificateRefused reports whether a link ended because the TLS handshake failed,
// as when one end refuses the other's certificate.
func CertificateRefused(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}
