// Package keys creates the certificate authority and the node certificates for
// mutual TLS between nodes, and builds TLS configurations from PEM texts.
package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// NodeServerName is the DNS name in every node certificate. Nodes are dialled by
// IP address, so that the name identifies any node of the fleet.
const NodeServerName = "node.pistachiopier"

// ProtocolName is the ALPN protocol name of connections between nodes.
const ProtocolName = "pistachiopier-peer/1"

const (
	certificateBlock   = "CERTIFICATE"
	keyBlock           = "EC PRIVATE KEY"
	serialBits         = 120
	clockSkewAllowance = 5 * time.Minute
)

// Pair is a certificate and its private key, both as PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs node certificates.
type Authority struct {
	Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority that is valid from now for the given
// time.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap("make authority key", err)
	}
	template, err := newTemplate("pistachiopier authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{Pair: pair, certificate: template, key: key}, nil
}

// LoadAuthority loads an authority from its PEM texts.
func LoadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, tlsFault("the authority's certificate and key do not match", err)
	}
	certificate, err := x509.ParseCertificate(loaded.Certificate[0])
	if err != nil {
		return nil, tlsFault("the authority's certificate cannot be parsed", err)
	}
	key, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, tlsFault("the authority's key is not an elliptic curve key", nil)
	}
	return &Authority{Pair: pair, certificate: certificate, key: key}, nil
}

// Issue creates a key and a certificate for the node named id.
func (a *Authority) Issue(id string, now time.Time, validity time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fault.Wrap("make node key", err)
	}
	template, err := newTemplate(id, now, validity)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{NodeServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, a.certificate, key, a.key)
}

// TLSConfig builds the TLS configuration of a node, for both ends of a peer
// connection. Both ends must present a certificate signed by the authority.
func TLSConfig(authority []byte, node Pair) (*tls.Config, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, tlsFault("the authority PEM holds no certificate", nil)
	}
	certificate, err := tls.X509KeyPair(node.Certificate, node.Key)
	if err != nil {
		return nil, tlsFault("the node's certificate and key do not match", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   NodeServerName,
		NextProtos:   []string{ProtocolName},
	}, nil
}

// Validity returns the validity period of the first certificate of a PEM text.
func Validity(certificate []byte) (from, until time.Time, err error) {
	parsed, err := parseFirst(certificate)
	if err != nil {
		return from, until, err
	}
	return parsed.NotBefore, parsed.NotAfter, nil
}

func parseFirst(certificate []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(certificate)
	if block == nil || block.Type != certificateBlock {
		return nil, tlsFault("the PEM holds no certificate", nil)
	}
	parsed, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, tlsFault("the certificate cannot be parsed", err)
	}
	return parsed, nil
}

// AuthorityValidity returns the validity period of the certificate in an authority
// PEM that expires last. While an authority is replaced, the PEM holds the old and
// the new certificate, in any order.
func AuthorityValidity(authority []byte) (from, until time.Time, err error) {
	for rest := authority; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		parsed, err := parseFirst(pem.EncodeToMemory(block))
		if err != nil {
			return from, until, err
		}
		if parsed.NotAfter.After(until) {
			from, until = parsed.NotBefore, parsed.NotAfter
		}
	}
	if until.IsZero() {
		err = tlsFault("the authority PEM holds no certificate", nil)
	}
	return from, until, err
}

// CommonName returns the common name of the first certificate of a PEM text.
func CommonName(certificate []byte) (string, error) {
	parsed, err := parseFirst(certificate)
	if err != nil {
		return "", err
	}
	return parsed.Subject.CommonName, nil
}

// CheckValid returns an error if now is outside the validity period.
func CheckValid(from, until, now time.Time) error {
	if now.After(until) {
		return tlsFault("the certificate expired at "+until.UTC().Format(time.RFC3339), nil)
	}
	if now.Before(from) {
		return tlsFault("the certificate is valid only from "+from.UTC().Format(time.RFC3339), nil)
	}
	return nil
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fault.Wrap("make serial number", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, fault.Wrap("sign certificate", err)
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, fault.Wrap("encode key", err)
	}
	return Pair{Certificate: encodePEM(certificateBlock, der), Key: encodePEM(keyBlock, keyBytes)}, nil
}

func encodePEM(block string, der []byte) []byte {
	var out bytes.Buffer
	_ = pem.Encode(&out, &pem.Block{Type: block, Bytes: der})
	return out.Bytes()
}

func tlsFault(message string, cause error) error {
	return &fault.Error{Code: fault.CodeTLS, Message: message, Fix: "create new certificates with pistachiopier keys", Cause: cause}
}

// ephemeralValidity is how long before and after its creation an ephemeral
// certificate is valid. The system clock may jump, and the key is used until the
// process ends.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// EphemeralTLSConfig builds the TLS configuration of a node if no operator issues
// certificates. Each process signs its own, and any certificate is accepted. This
// protects links against passive eavesdropping and ties a link to one process. It
// does not authenticate nodes: an attacker who can reach the port can connect.
func EphemeralTLSConfig(id string, now time.Time) (*tls.Config, error) {
	authority, err := NewAuthority(now.Add(-ephemeralValidity), 2*ephemeralValidity)
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(id, now.Add(-ephemeralValidity), 2*ephemeralValidity)
	if err != nil {
		return nil, err
	}
	config, err := TLSConfig(authority.Certificate, pair)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	return config, nil
}
