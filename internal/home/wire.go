package home

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

func replyEnvelope(reply once.Reply) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_SubmitReply{SubmitReply: toMessage(reply)}}
}

func toMessage(reply once.Reply) *peerpb.SubmitReply {
	return &peerpb.SubmitReply{
		Outcome:      uint32(reply.Outcome),
		Code:         string(reply.Code),
		Message:      reply.Message,
		Payload:      reply.Payload,
		RetryAfterMs: uint64(reply.RetryAfter.Milliseconds()),
		Repeated:     reply.Repeated,
	}
}

func fromMessage(message *peerpb.SubmitReply) once.Reply {
	return once.Reply{
		Outcome:    core.Outcome(message.GetOutcome()),
		Code:       fault.Code(message.GetCode()),
		Message:    message.GetMessage(),
		Payload:    message.GetPayload(),
		RetryAfter: milliseconds(message.GetRetryAfterMs()),
		Repeated:   message.GetRepeated(),
	}
}

func toFinished(record once.Record) *peerpb.FinishedOnce {
	return &peerpb.FinishedOnce{
		Key:        record.Key,
		BodyDigest: record.Digest[:],
		Reply:      toMessage(record.Reply),
		AgeMs:      uint64(record.Age.Milliseconds()),
		Customer:   string(record.Customer),
	}
}

// fromFinished converts a message into a record. It returns false if the digest has the
// wrong length.
func fromFinished(message *peerpb.FinishedOnce) (once.Record, bool) {
	record := once.Record{
		Key:      message.GetKey(),
		Customer: core.Customer(message.GetCustomer()),
		Reply:    fromMessage(message.GetReply()),
		Age:      milliseconds(message.GetAgeMs()),
	}
	return record, copy(record.Digest[:], message.GetBodyDigest()) == len(record.Digest)
}

func milliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

// toMicroseconds converts a remaining time for a message. A negative time becomes 0.
func toMicroseconds(remaining time.Duration) uint64 { return uint64(max(0, remaining).Microseconds()) }
