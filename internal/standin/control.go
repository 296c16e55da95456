package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/strictyaml"
)

// The paths of the control interface. PUT replaces a behaviour, PATCH changes
// the given keys, GET reads. For upstreams the query parameter ParamReplica
// selects one by its index, from 0; without it, a request applies to all.
const (
	PathBehaviour = "/standin/behaviour"
	PathCounts    = "/standin/counts"
	PathConfig    = "/standin/config"
	PathVMs       = "/standin/vms"
	ParamReplica  = "replica"
)

const maxControlBytes = 8 << 20

// Control serves the control interface of stand-ins on a separate address.
type Control struct {
	server  *http.Server
	address string
}

// Address returns the address that it listens on.
func (c *Control) Address() string { return c.address }

// Close stops the control interface; the stand-ins keep running.
func (c *Control) Close() error { return c.server.Close() }

func startControl(address string, mux *http.ServeMux) (*Control, error) {
	server, chosen, err := serve(address, mux)
	if err != nil {
		return nil, err
	}
	return &Control{server: server, address: chosen}, nil
}

// StartUpstreamControl starts the control interface of upstreams.
func StartUpstreamControl(address string, upstreams []*Upstream) (*Control, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		changeUpstreams(w, r, upstreams, func(Behaviour) Behaviour { return Behaviour{} })
	})
	mux.HandleFunc("PATCH "+PathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		changeUpstreams(w, r, upstreams, func(present Behaviour) Behaviour { return present })
	})
	mux.HandleFunc("GET "+PathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		writeEach(w, r, upstreams, func(u *Upstream) any { return u.Behaviour() })
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, r *http.Request) {
		writeEach(w, r, upstreams, func(u *Upstream) any { return u.Counts() })
	})
	return startControl(address, mux)
}

// changeUpstreams decodes the body over the base behaviour of each selected
// upstream. It changes none unless the body is valid for all of them.
func changeUpstreams(w http.ResponseWriter, r *http.Request, upstreams []*Upstream, base func(Behaviour) Behaviour) {
	chosen, err := selectUpstreams(r, upstreams)
	if err != nil {
		writeError(w, err)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		writeError(w, err)
		return
	}
	behaviours := make([]Behaviour, len(chosen))
	for i, u := range chosen {
		behaviours[i], err = ParseBehaviour(text, base(u.Behaviour()))
		if err != nil {
			writeError(w, err)
			return
		}
	}
	for i, u := range chosen {
		u.Change(func(b *Behaviour) { *b = behaviours[i] })
	}
}

func selectUpstreams(r *http.Request, upstreams []*Upstream) ([]*Upstream, error) {
	text := r.URL.Query().Get(ParamReplica)
	if text == "" {
		return upstreams, nil
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 || index >= len(upstreams) {
		return nil, errNoReplica
	}
	return upstreams[index : index+1], nil
}

var errNoReplica = errors.New("no replica has this index")

func writeEach(w http.ResponseWriter, r *http.Request, upstreams []*Upstream, read func(*Upstream) any) {
	chosen, err := selectUpstreams(r, upstreams)
	if err != nil {
		writeError(w, err)
		return
	}
	list := make([]any, 0, len(chosen))
	for _, u := range chosen {
		list = append(list, read(u))
	}
	writeJSON(w, list)
}

// StartPlatformControl starts the control interface of a platform.
func StartPlatformControl(address string, p *Platform) (*Control, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		changePlatform(w, r, p, PlatformBehaviour{})
	})
	mux.HandleFunc("PATCH "+PathBehaviour, func(w http.ResponseWriter, r *http.Request) {
		changePlatform(w, r, p, p.Behaviour())
	})
	mux.HandleFunc("GET "+PathBehaviour, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Behaviour()) })
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	mux.HandleFunc("PUT "+PathConfig, func(w http.ResponseWriter, r *http.Request) {
		var config confservice.Config
		if readJSON(w, r, &config) {
			p.SetConfig(config)
		}
	})
	mux.HandleFunc("PUT "+PathVMs, func(w http.ResponseWriter, r *http.Request) {
		var vms []confservice.VM
		if readJSON(w, r, &vms) {
			p.SetVMs(vms)
		}
	})
	return startControl(address, mux)
}

func changePlatform(w http.ResponseWriter, r *http.Request, p *Platform, base PlatformBehaviour) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err == nil {
		_, err = strictyaml.Decode(text, &base)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	p.Change(func(b *PlatformBehaviour) { *b = base })
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeError(w, err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}
