package ownership

import (
	"fmt"
	"io"
	"maps"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// The size to design for.
const (
	fleetVMs         = 1300
	fleetDatabases   = 2300
	fleetDataCentres = 9
)

// BenchmarkDecide measures what a change of the members costs each VM.
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

// BenchmarkSpread reports how many databases the VMs own.
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

func fleetController() *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Board: blackboard.New(chervilladder.VM{ID: "vm-0"}), Log: log})
}

func fleetMembers(lost func(n int) bool) blackboard.Membership {
	m := blackboard.Membership{Members: make(map[chervilladder.VMID]blackboard.Member)}
	for n := range fleetVMs {
		id := chervilladder.VMID(fmt.Sprintf("vm-%d", n))
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
		id := chervilladder.DatabaseID(fmt.Sprintf("database-%d", n))
		c.Databases[id] = &chervilladder.Database{ID: id}
	}
	return c
}
