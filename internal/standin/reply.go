package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/upstream"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	// refusedUnknownShard counts requests for a shard that the replica does not serve.
	// The protocol has no reason code for it: the reply is a plain 404.
	refusedUnknownShard = "shard"
	crossedSuffix       = "-crossed"
	truncationDivisor   = 2
)

// reply is the payload of the part that a stand-in returns.
type reply struct {
	Service string `json:"service"`
	Shard   string `json:"shard"`
	Version uint64 `json:"version"`
	Replica string `json:"replica"`
	// Seen counts the dependencies' parts in the request; SeenVersions lists
	// their distinct versions.
	Seen         int      `json:"dependencies_seen"`
	SeenVersions []uint64 `json:"dependency_versions,omitempty"`
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	var body upstream.Body
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	behaviour, plan, refusal := u.begin(r)
	u.writeHeader(w.Header(), r, behaviour, plan)
	if refusal != "" {
		refuse(w, behaviour, refusal)
		return
	}
	if behaviour.CrashOn != nil && behaviour.CrashOn(string(body.Question)) {
		_ = u.Close()
		panic(http.ErrAbortHandler)
	}
	finished := run(r, behaviour, plan)
	u.end(!finished)
	switch {
	case !finished:
		panic(http.ErrAbortHandler)
	case plan.fail:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		u.writePart(w, r, behaviour, plan, body)
	}
}

func (u *Upstream) writeHeader(header http.Header, r *http.Request, b Behaviour, p plan) {
	id := r.Header.Get(upstream.HeaderRequestID)
	if p.crossed {
		id += crossedSuffix
	}
	header.Set(upstream.HeaderRequestID, id)
	header.Set(upstream.HeaderVersions, joinVersions(b.Versions))
	if b.Draining {
		header.Set(upstream.HeaderDraining, "true")
	}
	if load := u.loadHeader(b); load != "" {
		header.Set(upstream.HeaderLoad, load)
	}
}

func refuse(w http.ResponseWriter, b Behaviour, refusal string) {
	if refusal == refusedUnknownShard {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(upstream.HeaderNotRun, refusal)
	if b.RetryAfter > 0 {
		w.Header().Set(upstream.HeaderRetryAfter, strconv.FormatInt(b.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run waits for the request's service time; false when the caller disconnected.
func run(r *http.Request, b Behaviour, p plan) bool {
	if p.noReply {
		<-r.Context().Done()
		return false
	}
	if b.Hold != nil {
		select {
		case <-b.Hold:
		case <-r.Context().Done():
			return false
		}
	}
	if p.late > 0 || b.IgnoreCancel {
		time.Sleep(p.service + p.late)
		return true
	}
	return wait.For(r.Context(), p.service)
}

func (u *Upstream) writePart(w http.ResponseWriter, r *http.Request, b Behaviour, p plan, body upstream.Body) {
	version := wantedVersion(r, b.Versions)
	text, err := json.Marshal(reply{
		Service:      r.PathValue("service"),
		Shard:        r.PathValue("shard"),
		Version:      version,
		Replica:      u.Address(),
		Seen:         len(body.Dependencies),
		SeenVersions: dependencyVersions(body.Dependencies),
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(upstream.HeaderVersion, strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if p.truncated {
		_, _ = w.Write(text[:len(text)/truncationDivisor])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

func dependencyVersions(dependencies []upstream.Dependency) []uint64 {
	var versions []uint64
	for _, dependency := range dependencies {
		var part reply
		if json.Unmarshal(dependency.Part, &part) == nil && !slices.Contains(versions, part.Version) {
			versions = append(versions, part.Version)
		}
	}
	return versions
}

func servesShard(shards []string, shard string) bool {
	return len(shards) == 0 || slices.Contains(shards, shard)
}

// wantedVersion returns the requested version, the newest when none is requested,
// or 0 when the replica does not have the requested one.
func wantedVersion(r *http.Request, versions []uint64) uint64 {
	wanted, err := strconv.ParseUint(r.Header.Get(upstream.HeaderVersion), 10, 64)
	if err != nil || wanted == 0 {
		return versions[len(versions)-1]
	}
	if slices.Contains(versions, wanted) {
		return wanted
	}
	return 0
}

func joinVersions(versions []uint64) string {
	texts := make([]string, len(versions))
	for i, version := range versions {
		texts[i] = strconv.FormatUint(version, 10)
	}
	return strings.Join(texts, ",")
}
