package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The states that the health endpoint reports.
const (
	HealthServing  = "serving"
	HealthDraining = "draining"
)

// report is a snapshot of health and load, cached for ReportLag.
type report struct {
	at     time.Time
	Health string  `json:"health"`
	Load   float64 `json:"load"`
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) { u.writeReport(w) }

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) { u.writeReport(w) }

func (u *Upstream) writeReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.readReport(time.Now()))
}

func (u *Upstream) readReport(now time.Time) report {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.report.at.IsZero() && now.Sub(u.report.at) < u.behaviour.ReportLag {
		return u.report
	}
	u.report = report{at: now, Health: HealthServing, Load: u.actualLoad()}
	if u.behaviour.Draining {
		u.report.Health = HealthDraining
	}
	if u.behaviour.Health != "" {
		u.report.Health = u.behaviour.Health
	}
	if fixed, err := strconv.ParseFloat(u.behaviour.Load, 64); err == nil {
		u.report.Load = fixed
	}
	return u.report
}

// loadHeader returns the value of the load header, empty for none.
func (u *Upstream) loadHeader(b Behaviour) string {
	if b.Load != LoadTrue {
		return b.Load
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return strconv.FormatFloat(u.actualLoad(), 'f', 2, 64)
}

func (u *Upstream) actualLoad() float64 {
	if u.behaviour.Slots == 0 {
		return 0
	}
	return float64(u.counts.Running) / float64(u.behaviour.Slots)
}
