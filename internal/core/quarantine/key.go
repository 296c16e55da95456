// Package quarantine finds out which request ends the replicas that run it (a "query of death"), and how
// such a request is treated: one replica at a time while it is suspected, not at all once it is proven.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
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

// KeyFrom reads a key from bytes; false when they are none.
func KeyFrom(read []byte) (key Key, ok bool) {
	if len(read) != keyBytes {
		return key, false
	}
	copy(key[:], read)
	return key, true
}

// Identity is what makes two tries the same request.
type Identity struct {
	Method string
	Host   string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Caller is the address that the request came from, without its port.
	Caller string
	Body   []byte
}

// Head is the key of the request without its body. Each part goes with its length: the end of one is not the
// beginning of the next.
func (i Identity) Head() Key {
	var joined []byte
	for _, part := range []string{i.Method, i.Host, i.Target, i.Caller} {
		joined = binary.BigEndian.AppendUint64(joined, uint64(len(part)))
		joined = append(joined, part...)
	}
	digest := sha256.Sum256(joined)
	return Key(digest[:keyBytes])
}

// Key is the identity's key.
func (i Identity) Key() Key { return i.Head().With(i.Body) }

// With is the key of a request with the head that k is of, and a body.
func (k Key) With(body []byte) Key {
	digest := sha256.New()
	digest.Write(k[:])
	digest.Write(body)
	return Key(digest.Sum(nil)[:keyBytes])
}
