package api

import (
	"encoding/json"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
	"github.com/pistachiopier/pistachiopier/internal/entry"
)

// Entries lists the addresses that a caller may use, and for how long.
type Entries struct {
	Entries []EntryAddress `json:"entries"`
	// TTLMs is how long the caller may keep the answer, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// KeyPrefix is the prefix for the keys of the caller's must-not-repeat requests.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// EntryAddress is the address of one entry.
type EntryAddress struct {
	Node       core.NodeID `json:"node"`
	Address    string      `json:"address"`
	DataCentre string      `json:"data_centre"`
}

// QueryRequest is the body of a query.
type QueryRequest struct {
	Customer      core.Customer   `json:"customer"`
	RequestID     string          `json:"request_id,omitempty"`
	Question      json.RawMessage `json:"question"`
	TimeoutMs     *int64          `json:"timeout_ms,omitempty"`
	LeastCoverage float64         `json:"least_coverage,omitempty"`
	// Prefer is "whole" or "early".
	Prefer string `json:"prefer,omitempty"`
}

// QueryReply is the answer to a query.
type QueryReply struct {
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id"`
	Service   string       `json:"service"`
	Index     string       `json:"index"`
	Version   core.Version `json:"version"`
	Revision  uint64       `json:"config_revision"`
	Coverage  Coverage     `json:"coverage"`
	Parts     []Part       `json:"parts"`
	ElapsedMs float64      `json:"elapsed_ms"`
}

// Coverage states which shards an answer covers.
type Coverage struct {
	Asked    int     `json:"asked"`
	Answered int     `json:"answered"`
	Share    float64 `json:"share"`
	Thin     bool    `json:"thin"`
	// BelowLeast is set if the coverage is below least_coverage.
	BelowLeast bool `json:"below_least,omitempty"`
	// Incomplete counts the answered shards whose part was computed without that of a dependency.
	Incomplete int       `json:"incomplete,omitempty"`
	Missing    []Missing `json:"missing,omitempty"`
}

// Missing is a shard without a part.
type Missing struct {
	Service string      `json:"service"`
	Shard   int         `json:"shard"`
	Reason  core.Reason `json:"reason"`
}

// Part is one shard's part.
type Part struct {
	Service string          `json:"service"`
	Shard   int             `json:"shard"`
	Data    json.RawMessage `json:"data"`
}

func toReply(service string, result *entry.Result) QueryReply {
	reply := QueryReply{
		Outcome:   core.Done.String(),
		RequestID: result.RequestID,
		Service:   service,
		Index:     result.Index,
		Version:   result.Version,
		Revision:  result.Revision,
		Coverage:  toCoverage(result.Answer),
		ElapsedMs: float64(result.Elapsed) / float64(time.Millisecond),
	}
	for _, part := range result.Parts {
		reply.Parts = append(reply.Parts, Part{Service: part.Ref.Service, Shard: part.Ref.Shard, Data: part.Payload})
	}
	return reply
}

func toCoverage(answer query.Answer) Coverage {
	coverage := answer.Coverage
	out := Coverage{
		Asked:      coverage.Asked,
		Answered:   coverage.Answered,
		Share:      coverage.Share(),
		Thin:       coverage.Answered < coverage.Asked,
		BelowLeast: answer.BelowLeast,
		Incomplete: coverage.Incomplete,
	}
	for _, missing := range coverage.Missing {
		out.Missing = append(out.Missing, Missing{Service: missing.Ref.Service, Shard: missing.Ref.Shard, Reason: missing.Reason})
	}
	return out
}
