package hosting_test

import (
	"fmt"
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

func TestOf(t *testing.T) {
	is := is.New(t)
	var vms []chervilladder.VMID
	for i := range 100 {
		vms = append(vms, chervilladder.VMID(fmt.Sprint("vm-", i)))
	}
	list, hosts := hosting.Of("s", vms, 22)
	is.Equal(hosts, 3)
	is.Equal(len(list), 6)
	// A VM that is not among them changes nothing when it goes.
	var fewer []chervilladder.VMID
	gone := false
	for _, vm := range vms {
		listed := false
		for _, l := range list {
			listed = listed || l == vm
		}
		if !listed && !gone {
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
