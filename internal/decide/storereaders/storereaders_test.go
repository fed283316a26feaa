package storereaders_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/storereaders"
)

func fleet(n int) []chervilladder.VM {
	var vms []chervilladder.VM
	for i := range n {
		vms = append(vms, chervilladder.VM{ID: chervilladder.VMID(fmt.Sprint("vm-", i)), DataCentre: chervilladder.DataCentreID(fmt.Sprint("dc-", i%3))})
	}
	return vms
}

func TestReaders(t *testing.T) {
	for vms, want := range map[int]int{1: 0, 19: 0, 20: 6, 37: 6, 100: 7, 300: 19, 1300: 82} {
		list := storereaders.Readers(fleet(vms))
		if len(list) != want {
			t.Errorf("%d VMs: %d readers, not %d", vms, len(list), want)
		}
		perDC := make(map[chervilladder.DataCentreID]int)
		for _, vm := range list {
			perDC[vm.DataCentre]++
		}
		for dc, n := range perDC {
			if n < want/3 || n > want/3+1 {
				t.Errorf("%d VMs: %d readers in %s", vms, n, dc)
			}
		}
	}
}

// The readers don't depend on the order in which a VM lists the VMs.
func TestReadersAreTheSameForAll(t *testing.T) {
	is := is.New(t)
	vms := fleet(60)
	want := storereaders.Readers(vms)
	slices.Reverse(vms)
	is.Equal(storereaders.Readers(vms), want)
}

func TestSources(t *testing.T) {
	is := is.New(t)
	vms := fleet(90)
	readers := storereaders.Readers(vms)
	load := make(map[chervilladder.VMID]int)
	for _, vm := range vms {
		sources := storereaders.Sources(vm, readers)
		is.Equal(len(sources), len(readers))
		is.Equal(sources[0].DataCentre, vm.DataCentre)
		is.True(sources[1].DataCentre != vm.DataCentre)
		load[sources[0].ID]++
		load[sources[1].ID]++
	}
	for _, n := range load {
		is.True(n <= 60)
	}
}

// A follower of a reader that has lost the store still gets a configuration within
// the bound.
func TestTimesFitTheBound(t *testing.T) {
	for _, bound := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 20 * time.Second} {
		wait, stale := storereaders.Wait(bound), storereaders.Stale(bound)
		if stale <= wait || bound > 0 && stale+500*time.Millisecond > bound {
			t.Errorf("bound %s: waits %s, stale after %s", bound, wait, stale)
		}
	}
}
