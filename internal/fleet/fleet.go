// Package fleet runs a whole small fleet in one process on loopback: stand-in
// platform, stand-in upstreams and nodes. The demo and tests use it.
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
	anyPort      = "127.0.0.1:0"
	validity     = 30 * 24 * time.Hour
	startTimeout = 20 * time.Second
	pollPause    = 5 * time.Millisecond
	dataCentres  = 3
	// entriesTTL is short, so that planned stops are.
	entriesTTL = 300 * time.Millisecond
)

// Member is one running node.
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
	logTo     io.Writer
	members   []*Member
	// added counts the nodes started so far: an id is never used twice.
	added       int
	alter       func(*settings.Settings)
	upstreamVMs []confservice.VM
}

// Options choose a fleet.
type Options struct {
	Nodes     int
	LogOutput io.Writer
	// EditSettings, when set, changes each node's settings before its start.
	EditSettings func(*settings.Settings)
	// UpstreamVMs are in the VM list beside the nodes.
	UpstreamVMs []confservice.VM
}

// Start runs a platform and nodes. The text is published by the caller.
func Start(options Options) (*Fleet, error) {
	authority, err := keys.NewAuthority(time.Now(), validity)
	if err != nil {
		return nil, err
	}
	stand, err := standin.StartPlatform(anyPort)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Platform: stand, authority: authority, logTo: options.LogOutput, alter: options.EditSettings, upstreamVMs: options.UpstreamVMs}
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
	number := f.added
	f.added++
	id := core.NodeID(fmt.Sprintf("vm-%d", number+1))
	pair, err := f.authority.Issue(string(id), time.Now(), validity)
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Node:            string(id),
		DataCentre:      fmt.Sprintf("dc%d", number%dataCentres+1),
		CallerAddress:   anyPort,
		PeerAddress:     anyPort,
		OperatorAddress: anyPort,
		Platform:        f.Platform.URL(),
		EntriesTTL:      entriesTTL,
		TLS:             settings.TLS{Authority: string(f.authority.Certificate), Certificate: string(pair.Certificate), Key: string(pair.Key)},
	}
	settings.Fill(s)
	if f.alter != nil {
		f.alter(s)
	}
	member, err := f.start(id, s)
	if err != nil {
		return nil, err
	}
	f.members = append(f.members, member)
	f.publishVMs()
	return member, nil
}

func (f *Fleet) start(id core.NodeID, s *settings.Settings) (*Member, error) {
	log, err := logs.New(f.logTo, s.LogLevel)
	if err != nil {
		return nil, err
	}
	member := &Member{ID: id}
	member.app = app.New(s, log, fx.Populate(&member.Node))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := member.app.Start(ctx); err != nil {
		return nil, fault.Step("start node "+string(id), err)
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

// Members returns the nodes that were started, in order.
func (f *Fleet) Members() []*Member { return f.members }

// Stop stops a member as planned; its VM stays in the list until RemoveFromVMList.
func (f *Fleet) Stop(member *Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return member.app.Stop(ctx)
}

// RemoveFromVMList takes a member's VM off the list.
func (f *Fleet) RemoveFromVMList(member *Member) {
	kept := f.members[:0]
	for _, one := range f.members {
		if one != member {
			kept = append(kept, one)
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

// AwaitReady waits until every node serves the revision with the full view.
func (f *Fleet) AwaitReady(ctx context.Context, revision uint64) error {
	for {
		if f.ready(revision) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.NotRun(fault.CodeNotReady, "the fleet did not become ready in time", "look at the nodes' logs")
		case <-time.After(pollPause):
		}
	}
}

func (f *Fleet) ready(revision uint64) bool {
	for _, member := range f.members {
		status := member.Node.Status()
		if status.ConfigRevision < revision || status.Nodes != len(f.members) {
			return false
		}
	}
	return true
}

// Close stops all that is left.
func (f *Fleet) Close() {
	var stopped sync.WaitGroup
	for _, member := range f.members {
		stopped.Go(func() { _ = f.Stop(member) })
	}
	stopped.Wait()
	_ = f.Platform.Close()
}
