package upstream_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// Guards against counting a cut reply as the end of an upstream, and two ends of one address as the same incarnation.
func TestAnUpstreamThatEndsIsDistinguishedFromACutReply(t *testing.T) {
	behaviour := standin.Behaviour{Versions: []uint64{7}, CrashOn: func(question string) bool { return question == `"deadly"` }}
	server, err := standin.StartUpstream("127.0.0.1:0", behaviour)
	require.NoError(t, err)
	client := upstream.NewClient()
	client.DetectEnded()
	t.Cleanup(client.Close)
	client.SetConnectionShare(server.Address(), 2)
	query := func(question string) upstream.Result {
		return client.Do(context.Background(), upstream.Call{
			Address: server.Address(), Ref: core.ShardRef{Service: "s"}, RequestID: "r", RemainingTime: 5 * time.Second,
			Body: upstream.Body{Question: json.RawMessage(question)},
		})
	}
	require.Equal(t, core.Done, query(`"harmless"`).Outcome)
	server.Change(func(b *standin.Behaviour) { b.CutShare = 1 })
	cut := query(`"harmless"`)
	require.True(t, cut.Broken)
	require.False(t, cut.Ended)
	server.Change(func(b *standin.Behaviour) { b.CutShare = 0 })
	var incarnations []uint64
	for range 2 {
		ended := query(`"deadly"`)
		require.True(t, ended.Broken)
		require.True(t, ended.Ended)
		incarnations = append(incarnations, ended.Incarnation)
		server, err = standin.StartUpstream(server.Address(), behaviour)
		require.NoError(t, err)
	}
	require.NoError(t, server.Close())
	require.NotEqual(t, incarnations[0], incarnations[1])
	require.Equal(t, cut.Incarnation, incarnations[0])
}
