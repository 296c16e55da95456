package edge_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// away makes the store reset every call, as it does before it comes back from a copy.
func (w *world) away() {
	w.store.SetTrouble(func(string) platformtest.Trouble { return platformtest.Reset })
}

// back ends the store's trouble.
func (w *world) back() { w.store.SetTrouble(nil) }

// restore takes the store away, puts it back to a copy and returns what is lost.
func (w *world) restore(from *platformtest.Backup) []platformtest.Lost {
	w.away()
	return w.store.Restore(from)
}

// moved is a configuration whose plain route goes to another service.
func (w *world) moved(version uint64, service string) platformtest.Config {
	config := w.config(version)
	config.Routes[0].Service = service
	config.Services = append(config.Services, platformtest.Service{Name: service, MaxConns: 26})
	return config
}

// Callers were served as a former configuration says for up to 18 s after a newer one was acknowledged, and three
// were never in force. The store had come back from a copy some seconds old and gave its revisions
// out again. Nodes took items by rising revision only: what came under a revision that they had
// passed was thrown away, and the next watch began behind it. Revisions order one era of the store, no more.
func TestAChangeAfterTheStoreCameBackFromACopyIsInForce(t *testing.T) {
	for name, passed := range map[string]bool{"revisions still lower": false, "revisions passed unseen": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.replica("notes", "east", "a note")
			w.replica("letters", "west", "a letter")
			w.serve("east", "east", "west")
			backup := w.store.Backup()
			for version := uint64(2); version <= 9; version++ {
				w.configure(version)
			}
			reached := w.store.Revision()
			for _, one := range w.nodes {
				w.inForce(one, 9)
			}
			for _, lost := range w.restore(backup) {
				w.store.WriteAgain(lost)
				if w.store.Revision() == reached-1 {
					break
				}
			}
			w.store.Publish(w.moved(12, "letters"))
			if passed {
				for w.store.Revision() <= reached {
					w.store.Evacuate("nowhere")
				}
			}
			w.back()
			for _, one := range w.nodes {
				w.inForce(one, 12)
				response, body := w.ask(one, http.MethodGet, "/plain/x", "r1", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Contains(t, body, "a letter")
			}
		})
	}
}
