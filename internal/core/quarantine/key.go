// Package quarantine finds out which request ends the replicas that run it (a "query of death"), and how
// such a request is treated: one replica at a time while it is suspected, not at all once it is proven.
package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Key names a request over all its tries: by any other one it is the same with a probability that nobody
// can bring about on purpose, so that no caller can have another one's request refused.
type Key [keyBytes]byte

// keyBytes is the length of a key: half of a SHA-256, beyond the reach of searched collisions.
const keyBytes = 16

// shownBytes is how much of a key logs show.
const shownBytes = 6

// String shortens the key for logs.
func (k Key) String() string { return hex.EncodeToString(k[:shownBytes]) }

// KeyFromBytes reads a key from bytes; false when they are none.
func KeyFromBytes(read []byte) (key Key, ok bool) {
	if len(read) != keyBytes {
		return key, false
	}
	copy(key[:], read)
	return key, true
}

// Identity is what two tries of one request have in common.
type Identity struct {
	Method string
	Host   string
	// Path is the path as the caller sent it, Query what follows it.
	Path  string
	Query string
	// Caller is what replicas are told of the caller: the header lines that are the same for all tries. The address
	// that a request comes from is no part of it. Replicas do not see it, and a caller has several.
	Caller string
	Body   []byte
	// Level distinguishes the identities of one request: levelQuestion for a question over all services of its closure, 0
	// otherwise. It is not part of the names.
	Level uint8
}

// The values of Identity.Method for requests of a customer to a service.
const (
	verbQuery  = "query"
	verbSubmit = "submit"
)

// levelQuestion is the Level of a question over all services of its closure.
const levelQuestion = 1

// ClosureQuery returns the identity of a question over all services of its closure.
func ClosureQuery(customer core.Customer, question []byte) Identity {
	return Identity{Method: verbQuery, Caller: string(customer), Body: compactJSON(question), Level: levelQuestion}
}

// ServiceQuery returns the identity of a question at one service of its closure.
func ServiceQuery(service string, customer core.Customer, question []byte) Identity {
	return Identity{Method: verbQuery, Path: service, Caller: string(customer), Body: compactJSON(question)}
}

// Submit returns the identity of a submit. It leaves out the submit key, because callers may retry under a new key.
func Submit(service string, customer core.Customer, payload []byte) Identity {
	return Identity{Method: verbSubmit, Path: service, Caller: string(customer), Body: compactJSON(payload)}
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

// Names are the keys of a request: an exact one, and a broad one that passes over the query and the caller.
//
// The failure: the same request comes with another query, or with a header line that differs each time, and looks like
// one that is not known. Once enough replicas have ended under it, all requests with its broad name are suspected, and
// set aside when replicas have ended under several exact ones. Any of them that is answered clears the broad name: others
// that use the same path are delayed by one answer.
type Names struct{ Exact, Broad Key }

// HeadNames are the names of the request without its body.
func (i Identity) HeadNames() Names {
	return Names{Exact: join(i.Method, i.Host, i.Path, i.Query, i.Caller), Broad: join(i.Method, i.Host, i.Path)}
}

// Names are the identity's names.
func (i Identity) Names() Names { return i.HeadNames().WithBody(i.Body) }

// WithBody are the names of a request with these heads and a body.
func (n Names) WithBody(body []byte) Names {
	return Names{Exact: n.Exact.with(body), Broad: n.Broad.with(body)}
}

func (k Key) with(body []byte) Key {
	digest := sha256.New()
	digest.Write(k[:])
	digest.Write(body)
	return Key(digest.Sum(nil)[:keyBytes])
}

// join makes a key of parts. Each goes with its length: the end of one is not the beginning of the next.
func join(parts ...string) Key {
	var joined []byte
	for _, part := range parts {
		joined = binary.BigEndian.AppendUint64(joined, uint64(len(part)))
		joined = append(joined, part...)
	}
	digest := sha256.Sum256(joined)
	return Key(digest[:keyBytes])
}
