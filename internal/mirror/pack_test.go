package mirror

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// A large change travels compressed. What cannot be unpacked must not count as read: the
// copy would go past changes that it never took.
func TestLargeDeltasTravelCompressed(t *testing.T) {
	c := NewCopy()
	delta := Delta{Whole: true, UpTo: 500}
	for i := range uint64(400) {
		delta.Items = append(delta.Items, Item{Key: fmt.Sprint("servers/i-", i), Value: bytes.Repeat([]byte("name"), 20), Revision: i + 1})
	}
	c.Apply(delta)
	server := NewServer(c, func() (time.Duration, bool) { return time.Second, true })
	reply := server.reply(Reached{})
	require.Empty(t, reply.GetItems())
	require.Less(t, len(reply.GetPacked()), 400*80/5)
	got, age, err := decode(reply)
	require.NoError(t, err)
	require.Equal(t, time.Second, age)
	require.ElementsMatch(t, delta.Items, got.Items)
	require.Same(t, &reply.GetPacked()[0], &server.reply(Reached{}).GetPacked()[0], "made once for all who ask")
	c.Apply(Delta{After: 500, UpTo: 500 + 7})
	require.EqualValues(t, 507, server.reply(Reached{}).GetUpTo(), "a revision without changes is told all the same")
	c.Apply(Delta{After: 507, UpTo: 508, Items: []Item{{Key: "servers/i-1", Revision: 508, Removed: true}}})
	got, _, err = decode(server.reply(Reached{Revision: 507}))
	require.NoError(t, err)
	require.Len(t, got.Items, 1, "a change ends it")
	reply = server.reply(Reached{})
	reply.Packed = reply.GetPacked()[:len(reply.GetPacked())/2]
	_, _, err = decode(reply)
	require.Error(t, err)
}

// request asks for what lies behind a revision of an era; nil is a program that knows none.
func request(after uint64, era *uint64) *peerpb.MirrorRequest {
	return &peerpb.MirrorRequest{After: after, Era: era}
}
