package peer

import (
	"errors"

	"github.com/quic-go/quic-go"
)

// CertificateRefused reports whether a link ended because one end refused the
// other's certificate.
func CertificateRefused(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}
