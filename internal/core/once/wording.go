package once

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// sendEndReply builds the reply to callers from the end of a send.
func sendEndReply(e *SendEnded) Reply {
	if e.Outcome == core.Done {
		return Reply{Outcome: core.Done, Payload: e.Payload, Message: e.Message}
	}
	reply := Reply{Outcome: e.Outcome, Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	if reply.Code == "" {
		reply.Code = failureCode(e.Outcome, e.Reason)
	}
	if reply.Message == "" {
		reply.Message = "the send ended with reason " + string(e.Reason)
	}
	return reply
}

func failureCode(outcome core.Outcome, reason core.Reason) fault.Code {
	switch {
	case outcome != core.NotRun:
		return fault.CodeLost
	case reason == core.ReasonDeadline:
		return fault.CodePastDeadline
	case reason == core.ReasonOverloaded:
		return fault.CodeOverloaded
	case reason == core.ReasonDraining:
		return fault.CodeDraining
	default:
		return fault.CodeRefused
	}
}
