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
	for _, c := range []struct{ vms, connections, want int }{
		{1, 0, 1},
		{5, 22, 5},
		{4, 30, 4},
		{25, 47, 25},
		{37, 130, 37}, // each for itself
		{30, 22, 3},
		{300, 22, 3},
		{300, 130, 21},
		{1300, 47, 7},
		{100, 2, 2},
		{2, 1, 2},
		{3, 1, 2},     // never a single one
		{300, 0, 300}, // no limit is known
	} {
		if got := hosting.Hosts(c.vms, c.connections); got != c.want {
			t.Errorf("%d VMs, %d connections: %d hosts, not %d", c.vms, c.connections, got, c.want)
		}
	}
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
	list, hosts := hosting.Of("s", vms, 22)
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
	again, _ := hosting.Of("s", fewer, 22)
	is.Equal(again, list)
	other, _ := hosting.Of("t", vms, 22)
	is.True(other[0] != list[0] || other[1] != list[1]) // services are spread
	none, hosts := hosting.Of("s", vms[:5], 22)
	is.Equal(len(none), 0)
	is.Equal(hosts, 5)
}

// With as many hosts as data centres each has one, and each VM asks its own first.
func TestHostsAreSpreadOverDataCentres(t *testing.T) {
	for _, service := range []chervilladder.ServiceID{"s", "t", "u", "v"} {
		is := is.New(t)
		list, hosts := hosting.Of(service, fleet(100, 3), 22)
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
