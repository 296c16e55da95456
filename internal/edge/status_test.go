package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// noStatuses are what stands where a status is expected, and is none.
var noStatuses = []string{"000 Odd", "099 Odd", "+20 Odd", "-01 Odd", "600 Odd", "999 Odd", "20 Odd", "2000 Odd", "2e2 Odd", "101 Switching Protocols", " OK"}

// Guards against passing on an answer whose status is none: a replica in trouble sends it, and it is no answer.
func TestAnAnswerWithoutAStatusIsNone(t *testing.T) {
	for _, status := range noStatuses {
		t.Run(status, func(t *testing.T) {
			h := newHarness(t)
			invoices := h.replica("invoices", "east", "an invoice")
			notes := h.replica("notes", "east", "a note")
			for _, odd := range []*platformtest.Replica{invoices, notes} {
				odd.SetStatus(status)
				odd.SetBehaviour(always(platformtest.OddStatus))
			}
			h.serve("east")
			response, _ := h.mustRequest(h.nodes[0], http.MethodPost, "/once/x", "once", "total=120")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Equal(t, 1, invoices.Runs("once"), "it may have run, and is not sent again")
			response, _ = h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "plain", "")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Contains(t, h.waitForEvent(h.nodes[0], "request_ended"), `"outcome":"failed"`)
			h.replica("notes", "east", "a note")
			require.Eventually(t, func() bool {
				response, _ := h.mustRequest(h.nodes[0], http.MethodGet, "/plain/x", "again", "")
				return response.StatusCode == http.StatusOK
			}, waitLimit, time.Millisecond, "another replica answers")
		})
	}
}

// Guards against a part whose status is none in a gathered answer, from a replica of this data centre and through a helper.
func TestAPartWithoutAStatusIsNone(t *testing.T) {
	for _, dataCentres := range [][]string{{"east"}, {"east", "west"}} {
		dataCentre := dataCentres[len(dataCentres)-1]
		t.Run(dataCentre, func(t *testing.T) {
			h := newHarness(t)
			for _, service := range []string{"s1", "s2"} {
				h.replica(service, "east", service)
			}
			odd := h.replica("s3", dataCentre, "zzz")
			odd.SetBehaviour(always(platformtest.OddStatus))
			odd.SetStatus(noStatuses[0])
			h.serve(dataCentres...)
			for i, status := range noStatuses {
				odd.SetStatus(status)
				response, body := h.mustRequest(h.nodes[0], http.MethodGet, "/all/x", fmt.Sprint("all-", i), "")
				require.Equal(t, http.StatusOK, response.StatusCode, status)
				require.Equal(t, "1", response.Header.Get("Pistachiopier-Missing-Parts"), status)
				require.NotContains(t, body, "zzz", status)
			}
		})
	}
}
