// Package fleet runs a small fleet in one process on loopback: nodes and a
// stand-in platform. It also emulates upstream replicas for the demo and tests.
package fleet

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/pistachiopier/pistachiopier/internal/app"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
	"github.com/pistachiopier/pistachiopier/internal/logs"
	"github.com/pistachiopier/pistachiopier/internal/settings"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	loopbackAnyPort     = "127.0.0.1:0"
	certificateValidity = 30 * 24 * time.Hour
	startTimeout        = 20 * time.Second
	pollInterval        = 5 * time.Millisecond
	dataCentreCount     = 3
	// entriesTTL is short to keep planned stops short.
	entriesTTL = 300 * time.Millisecond
)

// Member is a running node of the fleet.
type Member struct {
	ID        core.NodeID
	Node      *app.Node
	Addresses app.Addresses
	app       *fx.App
	vm        confservice.VM
}

// Fleet is a set of nodes with a stand-in platform.
type Fleet struct {
	Platform  *standin.Platform
	authority *keys.Authority
	logOutput io.Writer
	members   []*Member
	// nodesStarted numbers the nodes, so that no id is used twice.
	nodesStarted int
	editSettings func(*settings.Settings)
	upstreamVMs  []confservice.VM
}

// Options configure a fleet.
type Options struct {
	Nodes     int
	LogOutput io.Writer
	// EditSettings, if set, changes each node's settings before the node starts.
	EditSettings func(*settings.Settings)
	// UpstreamVMs are listed in the VM list in addition to the nodes.
	UpstreamVMs []confservice.VM
}

// Start starts a platform and nodes. The caller publishes the configuration.
func Start(options Options) (*Fleet, error) {
	authority, err := keys.NewAuthority(time.Now(), certificateValidity)
	if err != nil {
		return nil, err
	}
	platform, err := standin.StartPlatform(loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Platform: platform, authority: authority, logOutput: options.LogOutput, editSettings: options.EditSettings, upstreamVMs: options.UpstreamVMs}
	for range options.Nodes {
		if _, err := fleet.Add(); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// Add starts one more node and lists its VM as live.
func (f *Fleet) Add() (*Member, error) {
	index := f.nodesStarted
	f.nodesStarted++
	id := core.NodeID(fmt.Sprintf("vm-%d", index+1))
	pair, err := f.authority.Issue(string(id), time.Now(), certificateValidity)
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Node:            string(id),
		DataCentre:      fmt.Sprintf("dc%d", index%dataCentreCount+1),
		CallerAddress:   loopbackAnyPort,
		PeerAddress:     loopbackAnyPort,
		OperatorAddress: loopbackAnyPort,
		Platform:        f.Platform.URL(),
		EntriesTTL:      entriesTTL,
		TLS:             settings.TLS{Authority: string(f.authority.Certificate), Certificate: string(pair.Certificate), Key: string(pair.Key)},
	}
	settings.ApplyDefaults(s)
	if f.editSettings != nil {
		f.editSettings(s)
	}
	member, err := f.startNode(id, s)
	if err != nil {
		return nil, err
	}
	f.members = append(f.members, member)
	f.publishVMs()
	return member, nil
}

func (f *Fleet) startNode(id core.NodeID, s *settings.Settings) (*Member, error) {
	log, err := logs.New(f.logOutput, s.LogLevel)
	if err != nil {
		return nil, err
	}
	member := &Member{ID: id}
	member.app = app.New(s, log, fx.Populate(&member.Node))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := member.app.Start(ctx); err != nil {
		return nil, fault.Wrap("start node "+string(id), err)
	}
	member.Addresses = member.Node.Addresses()
	member.vm = confservice.VM{
		ID:              id,
		DataCentre:      s.DataCentre,
		State:           confservice.VMLive,
		PeerAddress:     member.Addresses.Peer,
		CallerAddress:   member.Addresses.Caller,
		OperatorAddress: member.Addresses.Operator,
	}
	return member, nil
}

// Members returns the nodes in the VM list, in the order of their start.
func (f *Fleet) Members() []*Member { return f.members }

// Stop performs a planned stop of a member; its VM stays in the VM list until RemoveFromVMList.
func (f *Fleet) Stop(member *Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return member.app.Stop(ctx)
}

// RemoveFromVMList removes a member's VM from the VM list.
func (f *Fleet) RemoveFromVMList(member *Member) {
	kept := f.members[:0]
	for _, listed := range f.members {
		if listed != member {
			kept = append(kept, listed)
		}
	}
	f.members = kept
	f.publishVMs()
}

func (f *Fleet) publishVMs() {
	vms := slices.Clone(f.upstreamVMs)
	for _, member := range f.members {
		vms = append(vms, member.vm)
	}
	f.Platform.SetVMs(vms)
}

// AwaitReady waits until every node has the configuration revision in force and sees all nodes.
func (f *Fleet) AwaitReady(ctx context.Context, revision uint64) error {
	for {
		if f.isReady(revision) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.NotRun(fault.CodeNotReady, "the nodes did not all have the configuration revision in force and see each other in time", "see the nodes' logs")
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) isReady(revision uint64) bool {
	for _, member := range f.members {
		status := member.Node.Status()
		if status.ConfigRevision < revision || status.Nodes != len(f.members) {
			return false
		}
	}
	return true
}

// Close stops all remaining nodes and the platform.
func (f *Fleet) Close() {
	var stopping sync.WaitGroup
	for _, member := range f.members {
		stopping.Go(func() { _ = f.Stop(member) })
	}
	stopping.Wait()
	_ = f.Platform.Close()
}
