package ownership

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/rendezvous"
)

// init fixes the seed, so that runs are repeatable; -rapid.seed on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestDecideMatchesRendezvous checks that a VM that has observed any sequence of
// changes chooses the same owners as one that observes only the last state.
func TestDecideMatchesRendezvous(t *testing.T) {
	states := []blackboard.MemberState{
		blackboard.MemberAlive, blackboard.MemberSuspect, blackboard.MemberDraining, blackboard.MemberDead,
	}
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		c := fleetController()
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			m := blackboard.Membership{Members: make(map[chervilladder.VMID]blackboard.Member)}
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(rt, "vms") {
				m.Members[vmID(n)] = blackboard.Member{State: rapid.SampledFrom(states).Draw(rt, "state")}
			}
			catalogue := &chervilladder.Catalogue{Databases: make(map[chervilladder.DatabaseID]*chervilladder.Database)}
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 29), rapid.ID).Draw(rt, "databases") {
				catalogue.Databases[databaseID(n)] = &chervilladder.Database{}
			}
			c.decide(m, catalogue)
			owners := c.Board.Owners.Load().ByDatabase
			is.Equal(len(owners), len(catalogue.Databases))
			for id := range catalogue.Databases {
				is.Equal(owners[id], rendezvous.Owner(id, slices.Collect(maps.Keys(candidates(m)))))
			}
		}
	})
}

// The size of the system that the benchmarks assume.
const (
	fleetVMs         = 1300
	fleetDatabases   = 2300
	fleetDataCentres = 9
)

// BenchmarkDecide measures the cost of a change of the members at one VM.
func BenchmarkDecide(b *testing.B) {
	changes := []struct {
		name string
		lost func(n int) bool
	}{
		{"vm", func(n int) bool { return n == 7 }},
		{"rack", func(n int) bool { return n%36 == 7 }},
		{"data-centre", func(n int) bool { return n%fleetDataCentres == 4 }},
	}
	for _, change := range changes {
		b.Run("lost="+change.name, func(b *testing.B) {
			c := fleetController()
			whole, part := fleetMembers(func(int) bool { return false }), fleetMembers(change.lost)
			catalogue := fleetCatalogue()
			c.decide(whole, catalogue)
			b.ReportAllocs()
			for b.Loop() {
				c.decide(part, catalogue)
				c.decide(whole, catalogue)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/change")
		})
	}
}

// BenchmarkSpread reports how evenly the databases are spread over the VMs.
func BenchmarkSpread(b *testing.B) {
	c := fleetController()
	for b.Loop() {
		c.decide(fleetMembers(func(int) bool { return false }), fleetCatalogue())
	}
	owned := make(map[chervilladder.VMID]int)
	for _, vm := range c.Board.Owners.Load().ByDatabase {
		owned[vm]++
	}
	most := 0
	for n := range maps.Values(owned) {
		most = max(most, n)
	}
	b.ReportMetric(float64(most), "most-databases")
	b.ReportMetric(float64(fleetVMs-len(owned)), "VMs-without")
}

func vmID(n int) chervilladder.VMID {
	return chervilladder.VMID(fmt.Sprintf("vm-%d", n))
}

func databaseID(n int) chervilladder.DatabaseID {
	return chervilladder.DatabaseID(fmt.Sprintf("database-%d", n))
}

func fleetController() *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Board: blackboard.New(chervilladder.VM{ID: "vm-0"}), Log: log})
}

func fleetMembers(lost func(n int) bool) blackboard.Membership {
	m := blackboard.Membership{Members: make(map[chervilladder.VMID]blackboard.Member)}
	for n := range fleetVMs {
		id := vmID(n)
		v := blackboard.Member{VM: chervilladder.VM{ID: id}}
		if lost(n) {
			v.State = blackboard.MemberDead
		}
		m.Members[id] = v
	}
	return m
}

func fleetCatalogue() *chervilladder.Catalogue {
	c := &chervilladder.Catalogue{Databases: make(map[chervilladder.DatabaseID]*chervilladder.Database)}
	for n := range fleetDatabases {
		id := databaseID(n)
		c.Databases[id] = &chervilladder.Database{ID: id}
	}
	return c
}
