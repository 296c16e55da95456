package catalog

import (
	"fmt"
	"slices"
	"strings"
)

// dependencies replaces group names by their services and checks each name.
func (b *builder) dependencies() {
	for _, name := range b.catalog.ServiceNames {
		service := b.catalog.Services[name]
		service.DependsOn = b.expand(service.DependsOn)
		for _, dependency := range service.DependsOn {
			b.dependency(b.keys[name]+".depends_on", service, dependency)
		}
	}
}

// expand replaces the names of groups by their services and keeps the first of
// equal names.
func (b *builder) expand(written []string) []string {
	var expanded []string
	seen := map[string]bool{}
	for _, name := range written {
		names := []string{name}
		if b.catalog.Services[name] == nil && b.groups[name] != nil {
			names = b.groups[name]
		}
		for _, one := range names {
			if !seen[one] {
				seen[one] = true
				expanded = append(expanded, one)
			}
		}
	}
	return expanded
}

func (b *builder) dependency(key string, service *Service, name string) {
	dependency := b.catalog.Services[name]
	switch {
	case dependency == nil:
		b.doc.Report(key, fmt.Sprintf("%s depends on %q, which is not written", service.Name, name), "add the service or remove the dependency")
	case dependency.Index != service.Index:
		b.doc.Report(key, fmt.Sprintf("%s (index %s) depends on %s (index %s)", service.Name, service.Index, name, dependency.Index), "an answer is drawn from one index: use one index for both")
	case !dependency.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s depends on %s, which must not be repeated", service.Name, name), "only idempotent services can be depended on")
	case !service.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s must not be repeated and depends on %s", service.Name, name), "a service with idempotent: false takes no dependencies")
	}
}

// cycles reports each cycle of depends_on once, by its path.
func (b *builder) cycles() {
	done := map[string]bool{}
	place := map[string]int{}
	var path []string
	var visit func(string)
	visit = func(name string) {
		if at, ok := place[name]; ok {
			cycle := append(slices.Clone(path[at:]), name)
			b.doc.Report(b.keys[name]+".depends_on", "cycle: "+strings.Join(cycle, " -> "), "remove one of these dependencies")
			return
		}
		service := b.catalog.Services[name]
		if done[name] || service == nil {
			return
		}
		place[name] = len(path)
		path = append(path, name)
		for _, dependency := range service.DependsOn {
			visit(dependency)
		}
		path = path[:len(path)-1]
		delete(place, name)
		done[name] = true
	}
	for _, name := range b.catalog.ServiceNames {
		visit(name)
	}
}
