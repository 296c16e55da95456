package membership

import (
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/member"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// maxHeartbeatItems bounds the updates and drain marks taken from one heartbeat, whatever the sender: twice what a node sends.
const maxHeartbeatItems = 512

// witnessBits is the width of each half (node, term) of a packed witness.
const witnessBits = 32

// Encode converts a heartbeat to its wire format.
func Encode(message *member.Message) *peerpb.Heartbeat {
	out := &peerpb.Heartbeat{
		Node:            string(message.From.ID),
		Incarnation:     message.Incarnation,
		Version:         message.Version,
		ConfigRevision:  message.Revision,
		ConfigDigest:    message.Digest,
		View:            message.View,
		Leaving:         message.Leaving,
		Starting:        message.Starting,
		Probe:           string(message.Probe),
		ProbeReached:    message.Reached,
		DataCentre:      message.From.DataCentre,
		PeerAddress:     message.From.PeerAddress,
		CallerAddress:   message.From.CallerAddress,
		OperatorAddress: message.From.OperatorAddress,
		Weight:          message.From.Weight,
		Exchange:        message.Exchange,
		Mark:            message.Mark,
		Seen:            message.Seen,
		SeenOf:          message.SeenOf,
	}
	for _, update := range message.Updates {
		out.Suspects = append(out.Suspects, encodeUpdate(update))
	}
	for _, mark := range message.Drains {
		out.DrainMarks = append(out.DrainMarks, &peerpb.DrainMark{Address: mark.Address, Version: mark.Version, Draining: mark.Draining})
	}
	return out
}

func encodeUpdate(update member.Update) *peerpb.Suspicion {
	out := &peerpb.Suspicion{
		Node:            string(update.Node.ID),
		Incarnation:     update.Incarnation,
		Refuted:         update.Standing == member.StandingLive,
		Version:         update.Version,
		Standing:        uint32(update.Standing),
		DataCentre:      update.Node.DataCentre,
		PeerAddress:     update.Node.PeerAddress,
		CallerAddress:   update.Node.CallerAddress,
		OperatorAddress: update.Node.OperatorAddress,
		Weight:          update.Node.Weight,
	}
	for _, witness := range update.Witnesses {
		if witness.Node != 0 {
			out.Witnesses = append(out.Witnesses, uint64(witness.Node)<<witnessBits|uint64(witness.Term))
		}
	}
	return out
}

// Decode converts a heartbeat from its wire format.
func Decode(in *peerpb.Heartbeat) *member.Message {
	message := &member.Message{
		From:        decodeNode(in),
		Incarnation: in.GetIncarnation(),
		Version:     in.GetVersion(),
		Revision:    in.GetConfigRevision(),
		Digest:      in.GetConfigDigest(),
		View:        in.GetView(),
		Leaving:     in.GetLeaving(),
		Starting:    in.GetStarting(),
		Probe:       core.NodeID(in.GetProbe()),
		Reached:     in.GetProbeReached(),
		Exchange:    in.GetExchange(),
		Mark:        in.GetMark(),
		Seen:        in.GetSeen(),
		SeenOf:      in.GetSeenOf(),
	}
	suspects := in.GetSuspects()
	if len(suspects) > maxHeartbeatItems {
		// Clear the mark, so that the sender repeats its updates: once acknowledged, the truncated ones would not be sent again.
		message.Mark = 0
	}
	for _, suspicion := range suspects[:min(len(suspects), maxHeartbeatItems)] {
		message.Updates = append(message.Updates, decodeUpdate(suspicion))
	}
	marks := in.GetDrainMarks()
	for _, mark := range marks[:min(len(marks), maxHeartbeatItems)] {
		message.Drains = append(message.Drains, member.Drain{Address: mark.GetAddress(), Version: mark.GetVersion(), Draining: mark.GetDraining()})
	}
	return message
}

// nodeMessage is a peer message with the fields of a route.Node.
type nodeMessage interface {
	GetNode() string
	GetDataCentre() string
	GetPeerAddress() string
	GetCallerAddress() string
	GetOperatorAddress() string
	GetWeight() uint32
}

func decodeNode(in nodeMessage) route.Node {
	return route.Node{
		ID:              core.NodeID(in.GetNode()),
		DataCentre:      in.GetDataCentre(),
		PeerAddress:     in.GetPeerAddress(),
		CallerAddress:   in.GetCallerAddress(),
		OperatorAddress: in.GetOperatorAddress(),
		Weight:          in.GetWeight(),
	}
}

func decodeUpdate(in *peerpb.Suspicion) member.Update {
	update := member.Update{
		Node:        decodeNode(in),
		Incarnation: in.GetIncarnation(),
		Version:     in.GetVersion(),
		Standing:    min(member.Standing(in.GetStanding()), member.StandingLeaving),
	}
	witnesses := in.GetWitnesses()
	for i, packed := range witnesses[:min(len(witnesses), len(update.Witnesses))] {
		update.Witnesses[i] = member.Witness{Node: uint32(packed >> witnessBits), Term: uint32(packed)}
	}
	return update
}
