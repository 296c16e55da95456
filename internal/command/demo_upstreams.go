package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	demoWeight = 4
	// demoLastDependency is the index of the last service that demoService depends on.
	demoLastDependency = 19
	demoServiceTime    = time.Millisecond
)

// demoGroup is a set of identically configured services, as in examples/magnolia.yaml.
type demoGroup struct {
	name        string
	services    int
	replicas    int
	slots       int
	connections int
	index       string
	timeout     string
	idempotent  bool
	// dependsOnRest means that the first service of the group depends on all the others.
	dependsOnRest bool
}

func demoGroups() []demoGroup {
	return []demoGroup{
		{name: demoService, services: demoLastDependency + 1, replicas: 2, slots: 2, connections: 25, index: "prices", timeout: "300ms", idempotent: true, dependsOnRest: true},
		{name: "supplier-import", services: 30, replicas: 2, slots: 2, connections: 25, index: "invoices", timeout: "2s"},
		{name: "invoice-review", services: 1, replicas: 7, slots: 3, connections: 100, index: "invoices", timeout: "500ms", idempotent: true},
		{name: "waste-logging", services: 1, replicas: 4, slots: 3, connections: 100, index: "waste", timeout: "500ms"},
	}
}

// demoReplicas are the stand-in replicas of one service.
type demoReplicas struct {
	name     string
	group    demoGroup
	replicas []*standin.Upstream
}

func (s *demoReplicas) setBehaviour(update func(*standin.Behaviour)) {
	for _, replica := range s.replicas {
		replica.Change(update)
	}
}

// demoUpstreams holds the stand-in replicas of all services, in the order of the text.
type demoUpstreams struct{ services []*demoReplicas }

func startDemoUpstreams() (*demoUpstreams, error) {
	upstreams := &demoUpstreams{}
	for _, group := range demoGroups() {
		for i := range group.services {
			name := group.name
			if i > 0 {
				name = fmt.Sprintf("%s-%02d", group.name, i+1)
			}
			service := &demoReplicas{name: name, group: group}
			upstreams.services = append(upstreams.services, service)
			if err := service.start(); err != nil {
				upstreams.close()
				return nil, err
			}
		}
	}
	return upstreams, nil
}

func (s *demoReplicas) start() error {
	for range s.group.replicas {
		behaviour := standin.Behaviour{Slots: s.group.slots, Service: demoServiceTime, Versions: []uint64{41, 42}}
		replica, err := standin.StartUpstream("127.0.0.1:0", behaviour)
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, replica)
	}
	return nil
}

func (u *demoUpstreams) count() int {
	count := 0
	for _, service := range u.services {
		count += len(service.replicas)
	}
	return count
}

func (u *demoUpstreams) close() {
	for _, service := range u.services {
		for _, replica := range service.replicas {
			_ = replica.Close()
		}
	}
}

// text returns the operators' text, with the given weight for demoCustomer.
func (u *demoUpstreams) text(weight int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nindexes: [prices, invoices, waste]\ncustomers:\n  - {name: %s, weight: %d, in_flight: 1024}\nservices:\n", demoCustomer, weight)
	for i, service := range u.services {
		g := service.group
		fmt.Fprintf(&b, "  - name: %s\n    index: %s\n    slots: %d\n    connections: %d\n    timeout: %s\n    idempotent: %t\n",
			service.name, g.index, g.slots, g.connections, g.timeout, g.idempotent)
		if g.dependsOnRest && i == 0 {
			fmt.Fprintf(&b, "    depends_on: [%s]\n", strings.Join(u.names(1, demoLastDependency+1), ", "))
		}
		b.WriteString("    shards:\n      - replicas:\n")
		for j, replica := range service.replicas {
			fmt.Fprintf(&b, "          - {address: %q, data_centre: dc%d}\n", replica.Address(), (i+j)%demoNodes+1)
		}
	}
	return b.String()
}

func (u *demoUpstreams) names(from, to int) []string {
	var names []string
	for _, service := range u.services[from:to] {
		names = append(names, service.name)
	}
	return names
}
