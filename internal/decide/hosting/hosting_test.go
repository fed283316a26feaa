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
		{11, 9, 30, 11}, // all VMs host each service
		{12, 9, 30, 3},  // the services are divided among the VMs
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
		{3, 1, 1, 2},     // never a single host
		{300, 0, 0, 300}, // neither services nor limit known
		{300, 100, 0, 3}, // no connection limit known
		{5, 100, 1000, 5},
	} {
		f := hosting.Fleet{VMs: c.vms, Services: c.services, Connections: c.connections}
		if got := f.Hosts(); got != c.want {
			t.Errorf("%+v: %d hosts, not %d", f, got, c.want)
		}
	}
}

// oneService returns a fleet with one service whose upstreams accept 22 connections.
func oneService(vms []chervilladder.VM) hosting.Fleet {
	return hosting.Fleet{VMs: len(vms), Services: 1, Connections: 22}
}

func fleet(n, dcs int) []chervilladder.VM {
	var vms []chervilladder.VM
	for i := range n {
		vms = append(vms, chervilladder.VM{ID: chervilladder.VMID(fmt.Sprint("vm-", i)), DataCentre: chervilladder.DataCentreID(fmt.Sprint("dc-", i%dcs))})
	}
	return vms
}

func TestChoose(t *testing.T) {
	is := is.New(t)
	vms := fleet(100, 1)
	list, hosts := hosting.Choose("s", vms, oneService(vms))
	is.Equal(hosts, 3)
	is.Equal(len(list), 6)
	// The hosts stay the same when a VM that isn't among them leaves.
	var fewer []chervilladder.VM
	removed := false
	for _, vm := range vms {
		if !slices.Contains(list, vm) && !removed {
			removed = true
			continue
		}
		fewer = append(fewer, vm)
	}
	again, _ := hosting.Choose("s", fewer, oneService(fewer))
	is.Equal(again, list)
	other, _ := hosting.Choose("t", vms, oneService(vms))
	is.True(other[0] != list[0] || other[1] != list[1]) // services have different hosts
	none, hosts := hosting.Choose("s", vms[:5], oneService(vms[:5]))
	is.Equal(len(none), 0)
	is.Equal(hosts, 5)
}

// With as many hosts as data centres, each data centre has one, and each VM forwards to
// the host of its own data centre first.
func TestHostsAreSpreadOverDataCentres(t *testing.T) {
	for _, service := range []chervilladder.ServiceID{"s", "t", "u", "v"} {
		is := is.New(t)
		vms := fleet(100, 3)
		list, hosts := hosting.Choose(service, vms, oneService(vms))
		seen := make(map[chervilladder.DataCentreID]int)
		for _, vm := range list {
			seen[vm.DataCentre]++
		}
		is.Equal(len(list), 6)
		is.Equal(seen, map[chervilladder.DataCentreID]int{"dc-0": 2, "dc-1": 2, "dc-2": 2})
		for _, vm := range list[:hosts] {
			ordered, preferred := hosting.Order(vm.DataCentre, list, hosts)
			is.Equal(ordered[0], vm.ID)
			is.Equal(preferred, 1)
			is.Equal(len(ordered), 6)
		}
		ordered, preferred := hosting.Order("elsewhere", list, hosts)
		is.Equal(preferred, 3)
		is.Equal(ordered[5], list[5].ID)
	}
}
