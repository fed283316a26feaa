package membership_test

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/platformtest"
)

// withFleet runs a test with a number of VMs in virtual time, and stops the VMs at its
// end.
func withFleet(t *testing.T, size int, test func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		f.awaitAll(time.Minute)
		test(is.New(t), f)
	})
}

func TestDeadVMIsDetectedWithinAboutASecond(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		var sum, worst time.Duration
		const rounds = 40
		for range rounds {
			f.kill(4)
			d := f.await(4, blackboard.MemberDead, 5*time.Second)
			sum, worst = sum+d, max(worst, d)
			f.start(4)
			f.awaitAll(time.Minute)
		}
		t.Logf("dead for all of 5 VMs: mean %s, worst %s of %d", sum/rounds, worst, rounds)
		is.True(sum/rounds <= 1100*time.Millisecond)
		is.True(worst <= 2*time.Second)
	})
}

func TestPausedVMRejoins(t *testing.T) {
	for _, size := range []int{5, 200} {
		withFleet(t, size, func(is *is.I, f *fleet) {
			f.pause(1)
			f.await(1, blackboard.MemberDead, 10*time.Second)
			time.Sleep(5 * time.Second)
			f.resume(1)
			t.Logf("%d VMs: back after %s", size, f.awaitAll(30*time.Second))
		})
	}
}

func TestStoppingVMIsNotSuspectedFirst(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.vms[2].end()
		is.True(f.await(2, blackboard.MemberDead, time.Second) < 400*time.Millisecond)
	})
}

func TestPacketLossAloneDeclaresNoVMDead(t *testing.T) {
	for _, size := range []int{5, 200} {
		withFleet(t, size, func(is *is.I, f *fleet) {
			f.net.mu.Lock()
			f.net.loss = 0.1
			f.net.mu.Unlock()
			for range 2000 / size {
				time.Sleep(100 * time.Millisecond)
				is.Equal(f.countDead(), 0)
			}
		})
	}
}

func TestMembersAfterAPartitionHeals(t *testing.T) {
	for _, size := range []int{5, 50} {
		withFleet(t, size, func(is *is.I, f *fleet) {
			f.split(size / 2)
			time.Sleep(time.Hour / 4 / time.Duration(size))
			is.Equal(f.state(0, size-1), blackboard.MemberDead)
			is.Equal(f.state(size-1, 0), blackboard.MemberDead)
			is.Equal(f.state(0, 1), blackboard.MemberAlive)
			f.split(size)
			t.Logf("%d VMs: whole again after %s", size, f.awaitAll(2*time.Minute))
		})
	}
}

func TestJoinWhileThePlatformIsDown(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.platform.SetFaults(platformtest.Faults{Down: true})
		f.start(5, identity(3).Peer)
		f.awaitAll(2 * time.Second)
	})
}

func TestRestartedVMHasAHigherIncarnation(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		old := f.vms[0].board.Members.Load().Members[identity(4).ID].Incarnation
		f.kill(4)
		f.await(4, blackboard.MemberDead, 5*time.Second)
		f.start(4)
		f.awaitAll(10 * time.Second)
		is.True(f.vms[0].board.Members.Load().Members[identity(4).ID].Incarnation > old)
	})
}

func TestDrainingIsAnnounced(t *testing.T) {
	withFleet(t, 5, func(_ *is.I, f *fleet) {
		f.vms[1].board.Local.Store(blackboard.Local{Draining: true})
		f.await(1, blackboard.MemberDraining, time.Second)
		list := identities(5)
		list[3].Leaving = true
		f.platform.SetVMs(list...)
		f.await(3, blackboard.MemberDraining, 3*time.Second)
		if f.state(3, 3) != blackboard.MemberDraining {
			t.Error("a VM that the platform's list marks as leaving doesn't see itself as draining")
		}
	})
}

func TestDeadVMsAreForgotten(t *testing.T) {
	withFleet(t, 2, func(is *is.I, f *fleet) {
		f.kill(1)
		f.await(1, blackboard.MemberDead, 5*time.Second)
		is.Equal(len(f.vms[0].board.Members.Load().Members), 2)
		time.Sleep(2*time.Hour + time.Minute)
		is.Equal(len(f.vms[0].board.Members.Load().Members), 1)
	})
}

func TestHintNamesTheNewestRevision(t *testing.T) {
	withFleet(t, 5, func(is *is.I, f *fleet) {
		f.vms[0].board.Published.Store(blackboard.Published{Revision: 7})
		time.Sleep(time.Second)
		for _, v := range f.vms[1:] {
			is.Equal(v.board.Hint.Load().Revision, chervilladder.Revision(7))
		}
	})
}

var sizes = flag.String("sizes", "5,50", "numbers of VMs for TestLoadOfAVM")

// settle is how long it takes until the updates caused by starting all VMs at once have
// reached all VMs.
const settle = 2 * time.Minute

// TestLoadOfAVM logs the figures of docs/CAPACITY-control.md.
func TestLoadOfAVM(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		withFleet(t, size, func(is *is.I, f *fleet) {
			startRate := f.bytesPerSecond(settle)
			calls := f.platform.listCalls.Load()
			idleRate := f.bytesPerSecond(30 * time.Second)
			calls = f.platform.listCalls.Load() - calls
			f.kill(size - 1)
			detection := f.await(size-1, blackboard.MemberDead, 20*time.Second)
			t.Logf("%d VMs: %.0f bytes/s each after a start of all, %.0f when idle, dead for all after %s, %.2f calls of the list/s",
				size, startRate, idleRate, detection, float64(calls)/30)
			is.True(idleRate < 5000)
		})
	}
}
