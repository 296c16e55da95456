package edge_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Another program writes entries below the replicas' keys: fields are missing or of another type, the state or the
// service is unknown, the bytes cannot be read. None of them gets a request, the others hold, and the dump says why.
func TestEntriesOfAnotherWriterHarmNothing(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east", "a note")
	h.serve("east")
	node := h.nodes[0]
	decoy, err := platformtest.StartReplica("i-decoy", "notes", []byte("a decoy"))
	require.NoError(t, err)
	defer decoy.Close()
	reasons := map[string]string{}
	put := func(name, reason string, change func(entry map[string]any)) {
		entry := decoy.Entry("east", platformtest.StateReady)
		change(entry)
		h.store.Put("servers/"+name, entry)
		if reason != "" {
			reasons[name] = reason
		}
	}
	for _, field := range []string{"service", "address", "zone", "version", "slots", "state", "warmupLeftMs", "seq"} {
		put("i-without-"+field, field+" is missing", func(entry map[string]any) { delete(entry, field) })
		put("i-typed-"+field, field+" has the invalid value", func(entry map[string]any) { entry[field] = []any{1} })
		put("i-null-"+field, field+" is missing", func(entry map[string]any) { entry[field] = nil })
	}
	for i, born := range []any{1.5, "x", -1, 1e30, true} {
		put(fmt.Sprint("i-born-", i), "born", func(entry map[string]any) { entry["born"] = born })
	}
	put("i-state", "resting", func(entry map[string]any) { entry["state"] = "resting" })
	put("i-slots", "slots is", func(entry map[string]any) { entry["slots"] = 0 })
	put("i-elsewhere", "", func(entry map[string]any) { entry["service"] = "a service without a name" })
	for i, text := range []string{"***", base64.StdEncoding.EncodeToString([]byte("\xff\xfe\x00")), base64.StdEncoding.EncodeToString([]byte("[]")), ""} {
		name := fmt.Sprint("i-bytes-", i)
		h.store.PutRaw("servers/"+name, text)
		reasons[name] = "the store entry of replica " + name
	}
	require.Eventually(t, func() bool {
		return strings.Count(node.log.String(), `"event":"replica_refused"`) == len(reasons)
	}, waitLimit, time.Millisecond)
	for i := range 20 {
		response, body := h.mustRequest(node, http.MethodGet, "/plain/x", fmt.Sprint("r", i), "")
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "a note", strings.TrimSpace(body))
	}
	require.Empty(t, decoy.Arrivals())
	_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
	for name, reason := range reasons {
		require.Contains(t, dump, name)
		require.Contains(t, dump, reason)
	}
}

// A replica's entry is unreadable when the replica ends, and the next one is of a later start with a lower sequence.
// Guards against requests that wait for the former life until their deadlines, and against taking over what was known
// of it: its slowness, its refusals and its connections.
func TestAStartBehindAnUnreadableEntryEndsTheFormerLife(t *testing.T) {
	h := newHarness(t)
	former := h.replica("invoices", "east")
	put := func(replica *platformtest.Replica, born, sequence int64) {
		entry := replica.Entry("east", platformtest.StateReady)
		entry["born"], entry["seq"] = born, sequence
		h.store.Put(former.Key(), entry)
	}
	put(former, 1000, 500)
	h.serve("east")
	node := h.nodes[0]
	former.SetBehaviour(always(platformtest.Hang))
	status := make(chan int, 1)
	go func() {
		response, _, err := h.request(node, http.MethodPost, "/once/x", "r1", "invoice")
		if err != nil {
			status <- 0
			return
		}
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return len(former.Arrivals()) == 1 }, waitLimit, time.Millisecond)
	h.store.PutRaw(former.Key(), "***")
	h.waitForEvent(node, "replica_refused")
	again, err := platformtest.StartReplica(former.ID, "invoices", []byte("again"))
	require.NoError(t, err)
	defer again.Close()
	put(again, 2000, 1)
	require.Equal(t, http.StatusBadGateway, <-status, "it may have run; at the deadline it would be 504")
	response, body := h.mustRequest(node, http.MethodPost, "/once/x", "r2", "invoice")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "again", body)
	_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
	require.Contains(t, dump, `"Born":2000`)
	require.Contains(t, dump, `"entries_refused":{}`)
}
