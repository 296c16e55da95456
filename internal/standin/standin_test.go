package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

const awaitLimit = 20 * time.Second

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, awaitLimit, time.Millisecond, what)
}

func startOne(t *testing.T, behaviour Behaviour) *Upstream {
	t.Helper()
	u, err := StartUpstream("127.0.0.1:0", behaviour)
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	return u
}

// sendRequest sends one request with the verb and returns the response and its body;
// the error is that of reading the body.
func sendRequest(t *testing.T, u *Upstream, verb string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+u.Address()+upstream.PathPrefix+"base/0/"+verb, strings.NewReader(`{"question":null}`))
	require.NoError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	u := startOne(t, Behaviour{Versions: []uint64{1}, Connections: 1})
	first, err := net.Dial("tcp", u.Address())
	require.NoError(t, err)
	await(t, "the first connection is counted", func() bool { return u.Counts().Open == 1 })
	second, err := net.Dial("tcp", u.Address())
	require.NoError(t, err)
	_, err = second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, u.Counts().Rejected)
	require.NoError(t, first.Close())
	await(t, "the connection slot is free again", func() bool { return u.Counts().Open == 0 })
}

func TestConnectionsOverTheLimitAreRefused(t *testing.T) {
	u := startOne(t, Behaviour{Versions: []uint64{1}, Connections: 1, RefuseConnections: true})
	first, err := net.Dial("tcp", u.Address())
	require.NoError(t, err)
	dials := func() bool {
		connection, err := net.Dial("tcp", u.Address())
		if err != nil {
			return false
		}
		_ = connection.Close()
		return true
	}
	await(t, "a further connection is refused", func() bool { return u.Counts().Open == 1 && !dials() })
	require.NoError(t, first.Close())
	await(t, "connections are accepted again", dials)
}

func TestFaultsOfReplies(t *testing.T) {
	u := startOne(t, Behaviour{Versions: []uint64{7, 8}})
	sendWith := func(alter func(*Behaviour)) (*http.Response, string, error) {
		u.Change(func(b *Behaviour) { *b = Behaviour{Versions: []uint64{7, 8}}; alter(b) })
		return sendRequest(t, u, upstream.VerbQuery, map[string]string{upstream.HeaderRequestID: "r1", upstream.HeaderTimeLeft: "5"})
	}
	response, body, err := sendWith(func(*Behaviour) {})
	require.NoError(t, err)
	require.Equal(t, "8", response.Header.Get(upstream.HeaderVersion))
	require.Contains(t, body, `"version":8`)
	response, _, err = sendWith(func(b *Behaviour) { b.CrossedShare = 1 })
	require.NoError(t, err)
	require.NotEqual(t, "r1", response.Header.Get(upstream.HeaderRequestID))
	_, _, err = sendWith(func(b *Behaviour) { b.CutShare = 1 })
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	response, _, _ = sendWith(func(b *Behaviour) { b.FailShare = 1 })
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	response, _, _ = sendWith(func(b *Behaviour) { b.Shards = []string{"base/1"} })
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	response, _, _ = sendWith(func(b *Behaviour) { b.HonourDeadline = true; b.Service = time.Hour })
	require.Equal(t, upstream.NotRunDeadline, response.Header.Get(upstream.HeaderNotRun))
	response, _, _ = sendWith(func(b *Behaviour) { b.ShedShare = 1; b.RetryAfter = time.Second })
	require.Equal(t, upstream.NotRunOverloaded, response.Header.Get(upstream.HeaderNotRun))
	require.Equal(t, "1000", response.Header.Get(upstream.HeaderRetryAfter))
	response, _, _ = sendWith(func(b *Behaviour) { b.Load = "0.01" })
	require.Equal(t, "0.01", response.Header.Get(upstream.HeaderLoad))
	require.Equal(t, 5, u.Queries(), "refused requests did not run")
}

// A replica whose health endpoint reads a stale cache still reports that it is
// serving after it has begun to drain.
func TestHealthReportsAreStaleWithinTheReportLag(t *testing.T) {
	u := startOne(t, Behaviour{Versions: []uint64{1}, ReportLag: time.Hour})
	read := func() string {
		response, err := http.Get("http://" + u.Address() + upstream.PathHealth)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		line, _ := bufio.NewReader(response.Body).ReadString('\n')
		return line
	}
	require.Contains(t, read(), HealthServing)
	u.Change(func(b *Behaviour) { b.Draining = true })
	require.Contains(t, read(), HealthServing)
	u.Change(func(b *Behaviour) { b.ReportLag = 0 })
	require.Contains(t, read(), HealthDraining)
}

func control(t *testing.T, method, address, path, body string, out any) int {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	if out != nil {
		require.NoError(t, json.NewDecoder(response.Body).Decode(out))
	}
	return response.StatusCode
}

func TestControlOfUpstreams(t *testing.T) {
	list, err := StartUpstreams("127.0.0.1:0", 2, Behaviour{Versions: []uint64{7}, Slots: 2})
	require.NoError(t, err)
	c, err := StartUpstreamControl("127.0.0.1:0", list)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Equal(t, http.StatusOK, control(t, http.MethodPatch, c.Address(), PathBehaviour+"?replica=1", `{"draining":true,"service":"5ms"}`, nil))
	require.False(t, list[0].Behaviour().Draining)
	require.Equal(t, Behaviour{Versions: []uint64{7}, Slots: 2, Draining: true, Service: 5 * time.Millisecond, Seed: 1}, list[1].Behaviour())
	require.Equal(t, http.StatusBadRequest, control(t, http.MethodPatch, c.Address(), PathBehaviour, `{"drainign":true}`, nil))
	require.Equal(t, http.StatusBadRequest, control(t, http.MethodPut, c.Address(), PathBehaviour, `{"slots":1}`, nil), "PUT without versions")
	sendRequest(t, list[0], upstream.VerbSubmit, map[string]string{upstream.HeaderSubmitKey: "k1"})
	var counts []Counts
	control(t, http.MethodGet, c.Address(), PathCounts, "", &counts)
	require.Equal(t, map[string]int{"k1": 1}, counts[0].Submits)
	require.Empty(t, counts[1].Submits)
}

func TestPlatformFrozenLimitedAndRolledBack(t *testing.T) {
	p, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	c, err := StartPlatformControl("127.0.0.1:0", p)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	reader := confservice.NewClient(p.URL())
	defer reader.Close()
	revision := func() uint64 {
		config, _, err := reader.ReadConfig(t.Context(), 0, 0)
		require.NoError(t, err)
		return config.Revision
	}
	p.Publish("one")
	require.Equal(t, uint64(1), revision())
	control(t, http.MethodPatch, c.Address(), PathBehaviour, `{"freeze_config":true}`, nil)
	control(t, http.MethodPut, c.Address(), PathConfig, `{"revision":5,"text":"five"}`, nil)
	require.Equal(t, uint64(1), revision())
	control(t, http.MethodPatch, c.Address(), PathBehaviour, `{"freeze_config":false}`, nil)
	require.Equal(t, uint64(5), revision())
	p.SetConfig(confservice.Config{Revision: 2, Text: "two"})
	require.Equal(t, uint64(2), revision())
	p.Change(func(b *PlatformBehaviour) { b.ReadsPerSecond = 1 })
	limited := func() bool {
		_, _, err := reader.ReadConfig(t.Context(), 0, 0)
		return err != nil
	}
	await(t, "a read above the rate is refused", limited)
	require.Positive(t, p.Counts().Limited)
	p.Change(func(b *PlatformBehaviour) { b.Down = true; b.ReadsPerSecond = 0 })
	await(t, "a read while down fails", func() bool { return limited() && p.Counts().Failed > 0 })
}

// A configuration service is restored from a backup and announces a new era. Clients must order its
// configuration and VM list after all earlier ones, even under a known revision; a missing era header
// changes nothing, and a response with an older era is an error.
func TestWhatARestoredPlatformHasComesAfter(t *testing.T) {
	p, err := StartPlatform("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	client := confservice.NewClient(p.URL())
	defer client.Close()
	setEra := func(number uint64) { p.Change(func(b *PlatformBehaviour) { b.Era = number }) }
	setEra(1)
	p.SetConfig(confservice.Config{Revision: 5, Text: "five"})
	p.SetVMs([]confservice.VM{{ID: "a"}})
	before, _, err := client.ReadConfig(t.Context(), 0, 0)
	require.NoError(t, err)
	listed, _, err := client.ReadVMs(t.Context(), 0, 0)
	require.NoError(t, err)
	setEra(2)
	p.SetConfig(confservice.Config{Revision: 5, Text: "another"})
	after, changed, err := client.ReadConfig(t.Context(), before.Revision, time.Millisecond)
	require.NoError(t, err)
	require.True(t, changed, "the same revision in another era")
	require.Equal(t, "another", after.Text)
	require.Greater(t, after.Revision, before.Revision)
	again, changed, err := client.ReadVMs(t.Context(), listed.Sequence, time.Millisecond)
	require.NoError(t, err)
	require.True(t, changed)
	require.Greater(t, again.Sequence, listed.Sequence)
	setEra(0)
	withoutEra, changed, err := client.ReadConfig(t.Context(), after.Revision, time.Millisecond)
	require.NoError(t, err)
	require.False(t, changed, withoutEra)
	setEra(1)
	_, _, err = client.ReadConfig(t.Context(), 0, 0)
	require.ErrorContains(t, err, "era 2 is known already")
	setEra(2)
	for _, test := range []struct {
		revision uint64
		possible bool
	}{{uint64(time.Now().UnixMicro()), true}, {era.MaxRevision, true}, {era.MaxRevision + 1, false}, {1 << 63, false}} {
		p.SetConfig(confservice.Config{Revision: test.revision, Text: "text"})
		got, _, err := client.ReadConfig(t.Context(), 0, 0)
		require.Equal(t, test.possible, err == nil, "revision %d: %v", test.revision, err)
		require.True(t, !test.possible || era.Of(got.Revision) == 2)
	}
}
