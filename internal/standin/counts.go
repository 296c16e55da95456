package standin

import "maps"

// Counts are the counters of a stand-in upstream.
type Counts struct {
	// Arrived counts the requests received, whether they ran or were refused.
	Arrived int `json:"arrived"`
	// Queries counts the queries run. Refused counts refusals by reason.
	Queries int            `json:"queries"`
	Refused map[string]int `json:"refused"`
	// Submits counts the runs of each submit key.
	Submits map[string]int `json:"submits"`
	// Cancelled counts the requests whose caller disconnected while they ran.
	Cancelled int `json:"cancelled"`
	Running   int `json:"running"`
	// Opened counts the connections accepted, Rejected those above the limit that
	// were accepted and closed at once; Open is the number open now.
	Opened   int `json:"connections_opened"`
	Rejected int `json:"connections_rejected"`
	Open     int `json:"connections_open"`
	// PeakOpen and PeakRunning are the highest values of Open and Running so far.
	PeakOpen    int `json:"connections_most"`
	PeakRunning int `json:"running_most"`
}

func newCounts() Counts {
	return Counts{Refused: map[string]int{}, Submits: map[string]int{}}
}

func (c Counts) clone() Counts {
	c.Refused = maps.Clone(c.Refused)
	c.Submits = maps.Clone(c.Submits)
	return c
}
