package catalog

import (
	"fmt"
	"slices"
	"strings"
)

// resolveDependencies replaces group names by their services and validates each
// dependency.
func (b *builder) resolveDependencies() {
	for _, name := range b.catalog.ServiceNames {
		service := b.catalog.Services[name]
		service.DependsOn = b.expandGroups(service.DependsOn)
		for _, dependency := range service.DependsOn {
			b.checkDependency(b.keys[name]+".depends_on", service, dependency)
		}
	}
}

// expandGroups replaces the names of groups by their services and drops
// duplicates.
func (b *builder) expandGroups(dependencies []string) []string {
	var expanded []string
	seen := map[string]bool{}
	for _, name := range dependencies {
		names := []string{name}
		if b.catalog.Services[name] == nil && b.groups[name] != nil {
			names = b.groups[name]
		}
		for _, service := range names {
			if !seen[service] {
				seen[service] = true
				expanded = append(expanded, service)
			}
		}
	}
	return expanded
}

func (b *builder) checkDependency(key string, service *Service, name string) {
	dependency := b.catalog.Services[name]
	switch {
	case dependency == nil:
		b.doc.Report(key, fmt.Sprintf("%s depends on %q, which is not defined", service.Name, name), "add the service or remove the dependency")
	case dependency.Index != service.Index:
		b.doc.Report(key, fmt.Sprintf("%s (index %s) depends on %s (index %s)", service.Name, service.Index, name, dependency.Index), "use the same index for both: an answer is drawn from one index")
	case !dependency.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s depends on %s, which is not idempotent", service.Name, name), "only idempotent services can be depended on")
	case !service.Idempotent:
		b.doc.Report(key, fmt.Sprintf("%s is not idempotent and depends on %s", service.Name, name), "a service with idempotent: false cannot have dependencies")
	}
}

// checkCycles reports each dependency cycle once, with its path.
func (b *builder) checkCycles() {
	visited := map[string]bool{}
	position := map[string]int{}
	var path []string
	var visit func(string)
	visit = func(name string) {
		if start, ok := position[name]; ok {
			cycle := append(slices.Clone(path[start:]), name)
			b.doc.Report(b.keys[name]+".depends_on", "cycle: "+strings.Join(cycle, " -> "), "remove one of these dependencies")
			return
		}
		service := b.catalog.Services[name]
		if visited[name] || service == nil {
			return
		}
		position[name] = len(path)
		path = append(path, name)
		for _, dependency := range service.DependsOn {
			visit(dependency)
		}
		path = path[:len(path)-1]
		delete(position, name)
		visited[name] = true
	}
	for _, name := range b.catalog.ServiceNames {
		visit(name)
	}
}
