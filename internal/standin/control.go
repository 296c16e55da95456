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

// The paths of the control interface. PUT replaces a behaviour, PATCH alters
// the keys written, GET reads. For upstreams the query parameter ParamReplica
// chooses one by its place, from 0; without it, PUT and PATCH are for all.
const (
	PathBehaviour = "/standin/behaviour"
	PathCounts    = "/standin/counts"
	PathConfig    = "/standin/config"
	PathVMs       = "/standin/vms"
	ParamReplica  = "replica"
)

const maxControlBytes = 8 << 20

// Control is the control interface of stand-ins, on an address of its own.
type Control struct {
	server  *http.Server
	address string
}

// Address is the address in use.
func (c *Control) Address() string { return c.address }

// Close ends the control interface, not the stand-ins.
func (c *Control) Close() error { return c.server.Close() }

func startControl(address string, mux *http.ServeMux) (*Control, error) {
	server, chosen, err := serve(address, mux)
	if err != nil {
		return nil, err
	}
	return &Control{server: server, address: chosen}, nil
}

// StartUpstreamControl serves the control interface of upstreams.
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

// changeUpstreams reads a behaviour over the base for each chosen upstream. All
// are read before the first is changed.
func changeUpstreams(w http.ResponseWriter, r *http.Request, upstreams []*Upstream, base func(Behaviour) Behaviour) {
	chosen, err := choose(r, upstreams)
	if err != nil {
		writeProblem(w, err)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		writeProblem(w, err)
		return
	}
	behaviours := make([]Behaviour, len(chosen))
	for i, u := range chosen {
		behaviours[i], err = ParseBehaviour(text, base(u.Behaviour()))
		if err != nil {
			writeProblem(w, err)
			return
		}
	}
	for i, u := range chosen {
		u.Change(func(b *Behaviour) { *b = behaviours[i] })
	}
}

func choose(r *http.Request, upstreams []*Upstream) ([]*Upstream, error) {
	text := r.URL.Query().Get(ParamReplica)
	if text == "" {
		return upstreams, nil
	}
	place, err := strconv.Atoi(text)
	if err != nil || place < 0 || place >= len(upstreams) {
		return nil, errNoReplica
	}
	return upstreams[place : place+1], nil
}

var errNoReplica = errors.New("there is no replica at this place")

func writeEach(w http.ResponseWriter, r *http.Request, upstreams []*Upstream, read func(*Upstream) any) {
	chosen, err := choose(r, upstreams)
	if err != nil {
		writeProblem(w, err)
		return
	}
	list := make([]any, 0, len(chosen))
	for _, u := range chosen {
		list = append(list, read(u))
	}
	writeJSON(w, list)
}

// StartPlatformControl serves the control interface of a platform.
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
		writeProblem(w, err)
		return
	}
	p.Change(func(b *PlatformBehaviour) { *b = base })
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeProblem(w, err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeProblem(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}
