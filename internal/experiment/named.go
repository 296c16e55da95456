package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// Parameters of the named experiments.
const (
	nodeCount          = 8
	roundCount         = 5
	sliceDuration      = 2 * time.Second
	searchRate         = 120.0
	maxRequests        = 20000
	maxOutstanding     = 2000
	seed               = 20250101
	failingShare       = 0.3
	largeFactor        = 10
	smallCustomerCount = 10
	slowFactor         = 20
	largeCustomer      = core.Customer("large")
)

// All returns the named experiments.
func All() []Experiment {
	return []Experiment{
		wholePath(), routing(), fairness(), straggler(), failing(), shedding(), versions(), bundles(),
	}
}

// Find returns the experiment of the given name.
func Find(name string) (Experiment, error) {
	all := All()
	index := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if index < 0 {
		return Experiment{}, fault.NotRun(fault.CodeBadRequest, "no experiment is named "+strconv.Quote(name), "see pistachiopier experiment")
	}
	return all[index], nil
}

// NamedVariant returns the variant with the given short name: owner, direct, naive
// or bundle-N.
func NamedVariant(name string) (Variant, error) {
	variant := Variant{Name: name, Nodes: nodeCount, Routing: string(catalog.RoutingOwner), BundleSize: 1, Profile: searchProfile(searchRate)}
	switch {
	case name == "owner":
	case name == "direct":
		variant.Routing = string(catalog.RoutingDirect)
	case name == "naive":
		variant.Naive = true
	case strings.HasPrefix(name, "bundle-"):
		size, err := strconv.Atoi(strings.TrimPrefix(name, "bundle-"))
		if err != nil || size < 1 {
			return variant, fault.NotRun(fault.CodeBadRequest, "no bundle size in "+strconv.Quote(name), "write bundle-10")
		}
		variant.BundleSize = size
	default:
		return variant, fault.NotRun(fault.CodeBadRequest, "no variant is named "+strconv.Quote(name), "write owner, direct, naive or bundle-N")
	}
	return variant, nil
}

// variants returns the variants with the given short names, each changed by edit.
func variants(edit func(*Variant), names ...string) []Variant {
	list := make([]Variant, 0, len(names))
	for _, name := range names {
		variant, err := NamedVariant(name)
		if err != nil {
			panic(err)
		}
		edit(&variant)
		list = append(list, variant)
	}
	return list
}

func unchanged(*Variant) {}

func searchProfile(rate float64) load.Profile {
	return load.Profile{
		Arrivals:       load.ArrivalsPoisson,
		Rate:           rate,
		Duration:       sliceDuration,
		MaxRequests:    maxRequests,
		MaxOutstanding: maxOutstanding,
		Mix:            smallShares(1),
		Seed:           seed,
	}
}

// smallShares returns the load shares of the small customers, whose weights add up to weight.
func smallShares(weight float64) []load.MixEntry {
	var shares []load.MixEntry
	for i := range smallCustomerCount {
		shares = append(shares, load.MixEntry{Customer: core.Customer(fmt.Sprintf("small-%02d", i+1)), Service: fleet.MainSearchService, Weight: weight / smallCustomerCount, Class: "small"})
	}
	return shares
}

func wholePath() Experiment {
	return Experiment{
		Name:     "whole-path",
		About:    "the users' main search through the system and through a naive fan-out",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(unchanged, "naive", "owner"),
	}
}

// routing compares owners with direct connections while one customer sends most
// of the load, in bursts.
func routing() Experiment {
	skewed := func(v *Variant) {
		v.Profile.Arrivals = load.ArrivalsBursty
		v.Profile.Mix = append(smallShares(1), load.MixEntry{Customer: largeCustomer, Service: fleet.MainSearchService, Weight: 3})
	}
	return Experiment{
		Name:     "routing",
		About:    "one owner a replica against every node connecting with its share, 8 nodes, skewed customers in bursts",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(skewed, "owner", "direct"),
	}
}

// fairness adds a large customer that sends ten times the load of all small ones,
// so that the replicas are overloaded. Few services keep the machine itself from
// being the bottleneck.
func fairness() Experiment {
	const smallRate = 100.0
	const services = 4
	alone := variants(func(v *Variant) {
		v.Name = "small alone"
		v.Profile = searchProfile(smallRate)
	}, "owner")
	crowded := func(v *Variant) {
		v.Name = "small and large, " + v.Name
		v.Profile = searchProfile(smallRate * (1 + largeFactor))
		v.Profile.Mix = append(smallShares(1), load.MixEntry{Customer: largeCustomer, Service: fleet.MainSearchService, Weight: largeFactor})
	}
	return Experiment{
		Name:     "fairness",
		About:    "the large customer at ten times the small ones' load: what the small ones feel",
		Shape:    fleet.MainSearchOf(services),
		Rounds:   roundCount,
		Variants: append(alone, variants(crowded, "owner", "naive")...),
	}
}

func straggler() Experiment {
	slow := func(v *Variant) {
		v.Prepare = func(emulation *fleet.Emulation) {
			service := fleet.DefaultServiceTime()
			service.Median *= slowFactor
			draw := service.Sampler(seed)
			for i := 0; i < len(emulation.Replicas); i += slowFactor {
				emulation.Replicas[i+1].Change(func(b *standin.Behaviour) { b.DrawService = draw })
			}
		}
	}
	return Experiment{
		Name:     "straggler",
		About:    "one replica in twenty is twenty times slower",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(slow, "naive", "owner", "direct"),
	}
}

// failing stops 30% of the replicas, selected by the seed.
func failing() Experiment {
	broken := func(v *Variant) {
		v.Prepare = func(emulation *fleet.Emulation) {
			source := rand.New(rand.NewPCG(seed, seed))
			count := int(failingShare * float64(len(emulation.Replicas)))
			for _, i := range source.Perm(len(emulation.Replicas))[:count] {
				_ = emulation.Replicas[i].Close()
			}
		}
	}
	return Experiment{
		Name:     "failing",
		About:    "30% of the replicas are gone: their ports refuse connections",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(broken, "naive", "owner"),
	}
}

// shedding gives every replica one slot although the configuration says two, and
// more load than one slot can serve.
func shedding() Experiment {
	shape := fleet.MainSearch()
	overload := func(v *Variant) {
		v.Profile = searchProfile(3 * searchRate)
		v.Prepare = func(emulation *fleet.Emulation) {
			for _, replica := range emulation.Replicas {
				replica.Change(func(b *standin.Behaviour) { b.Slots = 1 })
			}
		}
	}
	return Experiment{
		Name:     "shedding",
		About:    "every replica sheds: it has half the slots that the text says, under three times the load",
		Shape:    shape,
		Rounds:   roundCount,
		Variants: variants(overload, "naive", "owner"),
	}
}

// versions rolls out a new index version to the replicas in every slice.
func versions() Experiment {
	rolling := func(v *Variant) { v.During = rollVersion }
	return Experiment{
		Name:     "versions",
		About:    "a new index version rolls over the replicas and the old one goes, in every slice",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(rolling, "naive", "owner"),
	}
}

const firstRolledVersion = 100

// rollVersion adds the round's version to the first replica of each pair, then to
// the second, and then removes the older versions in the same order.
func rollVersion(ctx context.Context, emulation *fleet.Emulation, round int, slice time.Duration) {
	const steps = 5
	newVersion := uint64(firstRolledVersion + round)
	change := func(first bool, edit func([]uint64) []uint64) {
		for i, replica := range emulation.Replicas {
			if (i%2 == 0) == first {
				replica.Change(func(b *standin.Behaviour) { b.Versions = edit(slices.Clone(b.Versions)) })
			}
		}
	}
	add := func(versions []uint64) []uint64 { return append(versions, newVersion) }
	drop := func([]uint64) []uint64 { return []uint64{newVersion} }
	for _, step := range []func(){
		func() { change(true, add) },
		func() { change(false, add) },
		func() { change(true, drop) },
		func() { change(false, drop) },
	} {
		select {
		case <-time.After(slice / steps):
		case <-ctx.Done():
		}
		step()
	}
}

func bundles() Experiment {
	return Experiment{
		Name:     "bundles",
		About:    "shards owned and asked together: 1, 5, 10 and 20",
		Shape:    fleet.MainSearch(),
		Rounds:   roundCount,
		Variants: variants(unchanged, "bundle-1", "bundle-5", "bundle-10", "bundle-20"),
	}
}
