package standin

import "maps"

// Counts is what a stand-in upstream has seen.
type Counts struct {
	// Arrived counts the requests that reached it, run or not.
	Arrived int `json:"arrived"`
	// Queries counts the queries run. Refused counts by the reason given.
	Queries int            `json:"queries"`
	Refused map[string]int `json:"refused"`
	// Submits is the ledger: for each submit key, how often it ran.
	Submits map[string]int `json:"submits"`
	// Cancelled counts the requests whose caller went away while they ran.
	Cancelled int `json:"cancelled"`
	Running   int `json:"running"`
	// Opened and Rejected count connections taken and connections over the limit
	// that were accepted and closed; Open are open now.
	Opened   int `json:"connections_opened"`
	Rejected int `json:"connections_rejected"`
	Open     int `json:"connections_open"`
	// PeakOpen and MostRunning are the highest values so far.
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
