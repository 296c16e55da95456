// Package once decides must-not-repeat requests: the keys that name a home, the
// home's ledger, the owner's permit to send and the entry's asks for an outcome.
//
// The right to run a key is never shared: only the incarnation of the home that
// issued its prefix may run it, and that right ends with the process. Nothing
// here rests on clocks of two nodes agreeing.
package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Limits of a key.
const (
	// MaxCallerID is the length of a caller's id, in bytes.
	MaxCallerID = 64
	maxKeyBytes = 256
	// macBytes is the part of the HMAC-SHA-256 that a prefix carries.
	macBytes = 16
	// radix is the base in which incarnation and tick are written.
	radix = 36
	// tickUnit is the unit of a tick; tickBits hold 34 years of it.
	tickUnit  = time.Millisecond
	tickBits  = 40
	separator = "."
	// keyFields is the number of fields after the node's name.
	keyFields = 4
)

// Key is a parsed key: PREFIX.callerid, where PREFIX is
// node.incarnation.tick.authenticator.
type Key struct {
	// Text is the whole key and its identity in the ledger.
	Text        string
	Node        core.NodeID
	Incarnation uint64
	// IssuedAt is when the prefix was issued, on the home's clock.
	IssuedAt core.Time
	CallerID string
	// signed is what the authenticator covers.
	signed string
	mac    string
}

// ParseKey checks a key's form, not its authenticity. The error is a
// *fault.Error with outcome not run: no home runs a key that does not parse.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, fault.NotRun(fault.CodeKeyMissing, "the request has no key", "append an id of your own to the prefix given here")
	}
	if len(text) > maxKeyBytes {
		return Key{}, malformed("the key is over " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	fields := strings.Split(text, separator)
	if len(fields) <= keyFields {
		return Key{}, malformed("the key is not PREFIX.id")
	}
	// The node's name may itself hold separators, so the fields count from the end.
	return parseFields(text, [keyFields]string(fields[len(fields)-keyFields:]))
}

// parseFields reads the fields that follow the node's name in a key's text.
func parseFields(text string, fields [keyFields]string) (Key, error) {
	incarnationText, tickText, mac, callerID := fields[0], fields[1], fields[2], fields[3]
	incarnation, errIncarnation := strconv.ParseUint(incarnationText, radix, 64)
	tick, errTick := strconv.ParseUint(tickText, radix, tickBits)
	if errIncarnation != nil || errTick != nil {
		return Key{}, malformed("the key's prefix is not one that was issued")
	}
	if !validCallerID(callerID) {
		return Key{}, malformed("the caller's id is not 1 to " + strconv.Itoa(MaxCallerID) + " of A-Z a-z 0-9 _ -")
	}
	signed := strings.TrimSuffix(text, separator+mac+separator+callerID)
	node := strings.TrimSuffix(signed, separator+incarnationText+separator+tickText)
	return Key{
		Text:        text,
		Node:        core.NodeID(node),
		Incarnation: incarnation,
		IssuedAt:    core.Time(tick) * tickUnit,
		CallerID:    callerID,
		signed:      signed,
		mac:         mac,
	}, nil
}

func malformed(message string) error {
	return fault.NotRun(fault.CodeKeyInvalid, message, "append an id of your own to a prefix of /v1/entries")
}

func validCallerID(id string) bool {
	if id == "" || len(id) > MaxCallerID {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// Issuer makes the prefixes of one incarnation of a home and knows them again.
type Issuer struct {
	node        core.NodeID
	incarnation uint64
	secret      []byte
}

// NewIssuer makes an issuer. The secret must be random and stay in this process;
// the incarnation must be random too: were it a clock's reading, a restart after
// the clock was set back could take an earlier process's keys for forged ones
// and call them "not run" falsely.
func NewIssuer(node core.NodeID, incarnation uint64, secret []byte) *Issuer {
	return &Issuer{node: node, incarnation: incarnation, secret: secret}
}

// Prefix issues a prefix at the home's time now.
func (i *Issuer) Prefix(now core.Time) string {
	signed := string(i.node) + separator + strconv.FormatUint(i.incarnation, radix) + separator + strconv.FormatUint(uint64(now/tickUnit), radix)
	return signed + separator + i.mac(signed)
}

// Issued reports whether this incarnation is the one that the key names.
func (i *Issuer) Issued(key Key) bool {
	return key.Node == i.node && key.Incarnation == i.incarnation
}

// Authentic reports whether this issuer made the key's prefix. The texts are
// compared, not the decoded bytes: two texts that decode alike would be two keys.
func (i *Issuer) Authentic(key Key) bool {
	return i.Issued(key) && hmac.Equal([]byte(key.mac), []byte(i.mac(key.signed)))
}

func (i *Issuer) mac(signed string) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write([]byte(signed))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// Digest identifies a request's content.
type Digest [sha256.Size]byte

// DigestOf covers customer, service and payload, each with its length.
func DigestOf(customer core.Customer, service string, payload []byte) Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(customer), []byte(service), payload} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}
