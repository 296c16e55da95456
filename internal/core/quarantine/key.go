// Package quarantine detects requests that crash the replicas that run them ("queries of death") and determines how
// each request is treated: a suspect request is sent to one replica at a time, a proven one is rejected.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Key identifies a request across all its attempts. Two requests have the same key only with a probability that nobody
// can raise on purpose, so no caller can cause another caller's request to be rejected.
type Key [keyBytes]byte

// keyBytes is the length of a key: half of a SHA-256, for which collisions cannot be searched in practice.
const keyBytes = 16

// loggedKeyBytes is the number of bytes of a key that logs show.
const loggedKeyBytes = 6

// String returns a shortened key for logs.
func (k Key) String() string { return hex.EncodeToString(k[:loggedKeyBytes]) }

// KeyFromBytes converts bytes to a key. ok is false if their length is wrong.
func KeyFromBytes(read []byte) (key Key, ok bool) {
	if len(read) != keyBytes {
		return key, false
	}
	copy(key[:], read)
	return key, true
}

// Identity holds the properties that all attempts of one request share.
type Identity struct {
	Method string
	Host   string
	// Path is the path as the caller sent it; Query is the part after it.
	Path  string
	Query string
	// Caller describes the caller as replicas see it: the header lines that are the same for all attempts. The address
	// that a request comes from is not included, because replicas do not see it and a caller has several.
	Caller string
	Body   []byte
	// Level distinguishes the identities of one request: levelClosure for a query over all services of its closure, 0
	// otherwise. It is not part of the names.
	Level uint8
}

// Values of Identity.Method for requests of a customer to a service.
const (
	methodQuery  = "query"
	methodSubmit = "submit"
)

// levelClosure is the Level of a query over all services of its closure.
const levelClosure = 1

// ClosureQuery returns the identity of a query over all services of its closure.
func ClosureQuery(customer core.Customer, query []byte) Identity {
	return Identity{Method: methodQuery, Caller: string(customer), Body: compactJSON(query), Level: levelClosure}
}

// ServiceQuery returns the identity of a query at one service of its closure.
func ServiceQuery(service string, customer core.Customer, query []byte) Identity {
	return Identity{Method: methodQuery, Path: service, Caller: string(customer), Body: compactJSON(query)}
}

// Submit returns the identity of a submit. It leaves out the submit key, because callers may retry under a new key.
func Submit(service string, customer core.Customer, payload []byte) Identity {
	return Identity{Method: methodSubmit, Path: service, Caller: string(customer), Body: compactJSON(payload)}
}

// compactJSON removes insignificant white space, as the encoder does before replicas receive the text. Text that is not
// valid JSON is returned unchanged.
func compactJSON(text []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, text) != nil {
		return text
	}
	return out.Bytes()
}

// Names are the keys of a request: an exact one, and a broad one that ignores the query and the caller.
//
// They guard against a request that is repeated with another query each time, or with a header line that differs each
// time, and so has a new exact name each time. Once enough replicas have ended under it, all requests with its broad
// name are suspect; they are set aside once replicas have ended under several exact names. The first answer to any of
// them clears the broad name, so unrelated requests to the same path are delayed by one answer.
type Names struct{ Exact, Broad Key }

// HeadNames returns the names of the request without its body.
func (i Identity) HeadNames() Names {
	return Names{Exact: hashParts(i.Method, i.Host, i.Path, i.Query, i.Caller), Broad: hashParts(i.Method, i.Host, i.Path)}
}

// Names returns the names of the request.
func (i Identity) Names() Names { return i.HeadNames().WithBody(i.Body) }

// WithBody returns the names of a request with the head names n and a body.
func (n Names) WithBody(body []byte) Names {
	return Names{Exact: n.Exact.withBody(body), Broad: n.Broad.withBody(body)}
}

func (k Key) withBody(body []byte) Key {
	digest := sha256.New()
	digest.Write(k[:])
	digest.Write(body)
	return Key(digest.Sum(nil)[:keyBytes])
}

// hashParts hashes parts to a key. Each part is preceded by its length, so that parts cannot run into each other.
func hashParts(parts ...string) Key {
	var joined []byte
	for _, part := range parts {
		joined = binary.BigEndian.AppendUint64(joined, uint64(len(part)))
		joined = append(joined, part...)
	}
	digest := sha256.Sum256(joined)
	return Key(digest[:keyBytes])
}
