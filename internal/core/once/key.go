// Package once decides how must-not-repeat requests are run: the keys that name a home,
// the home's ledger, the owner's permit to send, and the requests for an outcome that
// an entry sends.
//
// Only the incarnation of the home that issued a key's prefix may run the key, and that
// right ends with its process. Nothing here depends on synchronized clocks.
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

// Limits and format of a key.
const (
	// MaxCallerID is the maximum length of a caller's id, in bytes.
	MaxCallerID = 64
	maxKeyBytes = 256
	// macBytes is the length of the truncated HMAC-SHA-256 in a prefix.
	macBytes = 16
	// radix is the base of the incarnation and the timestamp.
	radix = 36
	// timestampUnit is the unit of a timestamp; timestampBits cover 34 years.
	timestampUnit = time.Millisecond
	timestampBits = 40
	separator     = "."
	// fieldsAfterNode is the number of fields after the node's name.
	fieldsAfterNode = 4
)

// Key is a parsed key: PREFIX.callerid, where PREFIX is node.incarnation.timestamp.mac.
type Key struct {
	// Text is the whole key. It identifies the key in the ledger.
	Text        string
	Node        core.NodeID
	Incarnation uint64
	// IssuedAt is when the prefix was issued, on the home's clock.
	IssuedAt core.Time
	CallerID string
	// signedText is the part of the key that the MAC covers.
	signedText string
	mac        string
}

// ParseKey checks a key's format, not its authenticity. The error is a *fault.Error
// with outcome not run, because no home runs a key that does not parse.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, fault.NotRun(fault.CodeKeyMissing, "the request has no key", "append your own id to the prefix in this reply")
	}
	if len(text) > maxKeyBytes {
		return Key{}, invalidKey("the key is longer than " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	fields := strings.Split(text, separator)
	if len(fields) <= fieldsAfterNode {
		return Key{}, invalidKey("the key does not have the form PREFIX.id")
	}
	// The node's name may contain separators, so fields are counted from the end.
	return parseKeyFields(text, [fieldsAfterNode]string(fields[len(fields)-fieldsAfterNode:]))
}

// parseKeyFields parses the fields that follow the node's name in a key's text.
func parseKeyFields(text string, fields [fieldsAfterNode]string) (Key, error) {
	incarnationText, timestampText, mac, callerID := fields[0], fields[1], fields[2], fields[3]
	incarnation, errIncarnation := strconv.ParseUint(incarnationText, radix, 64)
	timestamp, errTimestamp := strconv.ParseUint(timestampText, radix, timestampBits)
	if errIncarnation != nil || errTimestamp != nil {
		return Key{}, invalidKey("the key's prefix is malformed: its incarnation or timestamp is invalid")
	}
	if !validCallerID(callerID) {
		return Key{}, invalidKey("the id after the prefix must be 1 to " + strconv.Itoa(MaxCallerID) + " characters of A-Z a-z 0-9 _ -")
	}
	signedText := strings.TrimSuffix(text, separator+mac+separator+callerID)
	node := strings.TrimSuffix(signedText, separator+incarnationText+separator+timestampText)
	return Key{
		Text:        text,
		Node:        core.NodeID(node),
		Incarnation: incarnation,
		IssuedAt:    core.Time(timestamp) * timestampUnit,
		CallerID:    callerID,
		signedText:  signedText,
		mac:         mac,
	}, nil
}

func invalidKey(message string) error {
	return fault.NotRun(fault.CodeKeyInvalid, message, "append your own id to a prefix from /v1/entries")
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

// Issuer issues and authenticates the prefixes of one incarnation of a home.
type Issuer struct {
	node        core.NodeID
	incarnation uint64
	secret      []byte
}

// NewIssuer makes an issuer. The secret must be random and must not leave this process.
// The incarnation must be random too: if it were taken from a clock, a process
// restarted after the clock was set back could treat keys of an earlier process as
// forged and wrongly answer "not run".
func NewIssuer(node core.NodeID, incarnation uint64, secret []byte) *Issuer {
	return &Issuer{node: node, incarnation: incarnation, secret: secret}
}

// Prefix issues a prefix at time now on the home's clock.
func (i *Issuer) Prefix(now core.Time) string {
	signedText := string(i.node) + separator + strconv.FormatUint(i.incarnation, radix) + separator + strconv.FormatUint(uint64(now/timestampUnit), radix)
	return signedText + separator + i.mac(signedText)
}

// Issued reports whether the key names this node and incarnation.
func (i *Issuer) Issued(key Key) bool {
	return key.Node == i.node && key.Incarnation == i.incarnation
}

// Authentic reports whether this issuer made the key's prefix. It compares the MAC
// texts, not the decoded bytes: two texts that decode to the same bytes would be two
// keys.
func (i *Issuer) Authentic(key Key) bool {
	return i.Issued(key) && hmac.Equal([]byte(key.mac), []byte(i.mac(key.signedText)))
}

func (i *Issuer) mac(signedText string) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write([]byte(signedText))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// Digest is a hash of a request's content.
type Digest [sha256.Size]byte

// DigestOf hashes customer, service and payload, each preceded by its length.
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
