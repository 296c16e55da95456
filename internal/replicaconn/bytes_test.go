package replicaconn

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

func bodyRequest(bytes int, limit int64) *Request {
	return &Request{Replica: replica.Incarnation{ID: "i-1"}, Body: make([]byte, bytes), MaxBodyBytes: limit}
}

// Guards against sending a replica more than it can hold: the bodies wait, in their order, and those that are given up
// leave the queue.
func TestBodiesWaitForRoomAtTheReplica(t *testing.T) {
	b := newBodyBytes()
	first, err := b.acquire(t.Context(), bodyRequest(256<<10, 300<<10))
	require.NoError(t, err)
	given, cancel := context.WithCancelCause(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := b.acquire(given, bodyRequest(256<<10, 300<<10))
		failed <- err
	}()
	require.Eventually(t, func() bool { b.mutex.Lock(); defer b.mutex.Unlock(); return b.waiting == 1 }, time.Second, time.Millisecond)
	served := make(chan func(), 1)
	go func() {
		release, _ := b.acquire(t.Context(), bodyRequest(10, 300<<10))
		served <- release
	}()
	require.Eventually(t, func() bool { b.mutex.Lock(); defer b.mutex.Unlock(); return b.waiting == 2 }, time.Second, time.Millisecond)
	reason := errors.New("the caller left")
	cancel(reason)
	require.ErrorIs(t, <-failed, reason)
	(<-served)()
	first()
	require.Empty(t, b.byReplica)
	require.Zero(t, b.waiting)
}

// A body beyond the bound is sent alone, and a bound of 0 is none.
func TestABodyBeyondTheBoundIsSentAlone(t *testing.T) {
	b := newBodyBytes()
	release, err := b.acquire(t.Context(), bodyRequest(5000, 100))
	require.NoError(t, err)
	for range 3 {
		unbounded, err := b.acquire(t.Context(), bodyRequest(5000, 0))
		require.NoError(t, err)
		defer unbounded()
		empty, err := b.acquire(t.Context(), bodyRequest(0, 100))
		require.NoError(t, err)
		defer empty()
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = b.acquire(ended, bodyRequest(1, 100))
	require.ErrorIs(t, err, context.Canceled)
	release()
	require.Empty(t, b.byReplica)
}

// Bodies come, are given up and end in any order: the bound holds and all bytes are given back.
func TestBodiesInAnyOrderKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := newBodyBytes()
		var running sync.WaitGroup
		for range rapid.IntRange(1, 20).Draw(t, "bodies") {
			bytes, leaves := rapid.IntRange(1, limit).Draw(t, "bytes"), rapid.Bool().Draw(t, "leaves")
			ctx, cancel := context.WithCancel(context.Background())
			running.Go(func() {
				defer cancel()
				release, err := b.acquire(ctx, bodyRequest(bytes, limit))
				if err != nil {
					return
				}
				b.mutex.Lock()
				used := b.byReplica[replica.Incarnation{ID: "i-1"}].used
				b.mutex.Unlock()
				if used > limit {
					panic("the bound does not hold")
				}
				release()
			})
			if leaves {
				cancel()
			}
		}
		running.Wait()
		if len(b.byReplica) != 0 || b.waiting != 0 {
			t.Fatalf("%d bodies wait, %v", b.waiting, b.byReplica)
		}
	})
}
