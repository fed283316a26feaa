package hosting_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
)

func TestHosts(t *testing.T) {
	for _, c := range []struct{ vms, services, connections, want int }{
		{1, 3, 0, 1},
		{5, 3, 22, 5},
		{4, 3, 30, 4},
		{11, 9, 30, 11}, // each for itself
		{12, 9, 30, 3},  // about one service for each VM
		{25, 8, 47, 4},
		{37, 8, 130, 5},
		{25, 1, 130, 25},
		{30, 83, 22, 3},
		{300, 830, 22, 3},
		{300, 2, 22, 3},
		{300, 2, 130, 21},
		{1300, 800, 47, 3},
		{1300, 10, 47, 7},
		{100, 50, 2, 2},
		{2, 1, 1, 2},
		{3, 1, 1, 2},     // never a single one
		{300, 0, 0, 300}, // nothing is known
		{300, 100, 0, 3}, // no limit is known
		{5, 100, 1000, 5},
	} {
		f := hosting.Fleet{VMs: c.vms, Services: c.services, Connections: c.connections}
		if got := f.Hosts(); got != c.want {
			t.Errorf("%+v: %d hosts, not %d", f, got, c.want)
		}
	}
}

// of is the fleet of some VMs with one service whose upstreams take 22 connections.
func of(vms []chervilladder.VM) hosting.Fleet {
	return hosting.Fleet{VMs: len(vms), Services: 1, Connections: 22}
}

func fleet(n, dcs int) []chervilladder.VM {
	var vms []chervilladder.VM
	for i := range n {
		vms = append(vms, chervilladder.VM{ID: chervilladder.VMID(fmt.Sprint("vm-", i)), DataCentre: chervilladder.DataCentreID(fmt.Sprint("dc-", i%dcs))})
	}
	return vms
}

func TestOf(t *testing.T) {
	is := is.New(t)
	vms := fleet(100, 1)
	list, hosts := hosting.Of("s", vms, of(vms))
	is.Equal(hosts, 3)
	is.Equal(len(list), 6)
	// A VM that is not among them changes nothing when it goes.
	var fewer []chervilladder.VM
	gone := false
	for _, vm := range vms {
		if !slices.Contains(list, vm) && !gone {
			gone = true
			continue
		}
		fewer = append(fewer, vm)
	}
	again, _ := hosting.Of("s", fewer, of(fewer))
	is.Equal(again, list)
	other, _ := hosting.Of("t", vms, of(vms))
	is.True(other[0] != list[0] || other[1] != list[1]) // services are spread
	none, hosts := hosting.Of("s", vms[:5], of(vms[:5]))
	is.Equal(len(none), 0)
	is.Equal(hosts, 5)
}

// With as many hosts as data centres each has one, and each VM asks its own first.
func TestHostsAreSpreadOverDataCentres(t *testing.T) {
	for _, service := range []chervilladder.ServiceID{"s", "t", "u", "v"} {
		is := is.New(t)
		vms := fleet(100, 3)
		list, hosts := hosting.Of(service, vms, of(vms))
		seen := make(map[chervilladder.DataCentreID]int)
		for _, vm := range list {
			seen[vm.DataCentre]++
		}
		is.Equal(len(list), 6)
		is.Equal(seen, map[chervilladder.DataCentreID]int{"dc-0": 2, "dc-1": 2, "dc-2": 2})
		for _, vm := range list[:hosts] {
			ordered, first := hosting.From(vm.DataCentre, list, hosts)
			is.Equal(ordered[0], vm.ID)
			is.Equal(first, 1)
			is.Equal(len(ordered), 6)
		}
		ordered, first := hosting.From("elsewhere", list, hosts)
		is.Equal(first, 3)
		is.Equal(ordered[5], list[5].ID)
	}
}
