package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// forwarding sets up three VMs, the last of which forwards its work to the first two.
func forwarding(t *testing.T, f func(is *is.I, w *clustertest.World)) {
	t.Helper()
	bubble(t, clustertest.Config{VMs: 3, Lag: 60 * time.Millisecond}, func(is *is.I, w *clustertest.World) {
		w.Forward(2, 0, 1)
		time.Sleep(100 * time.Millisecond)
		f(is, w)
	})
}

func TestForwardedWorkKeepsItsSession(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		is.Equal(len(w.VMs[2].Board.Clusters.Get(clustertest.Service).View.Load().Members), 0) // polls no member itself
		s := w.Open(t, 2, clustertest.OwnWritesDB)
		do(t, s, chervilladder.Command{Kind: chervilladder.CommandSet, ID: "s", Name: "lang", Rest: "es"})
		do(t, s, chervilladder.Command{Kind: chervilladder.CommandPrepare, ID: "p", Name: "s1", Access: chervilladder.AccessWrite, Rest: "q2c"})
		r := do(t, s, chervilladder.Command{Kind: chervilladder.CommandExecute, ID: "e", Name: "s1", Rest: "1a4 \xff\x00x"})
		run := runOf(t, w.Cluster, "e")
		is.Equal(run.Values["lang"], "es")
		is.Equal(run.Shape, "q2c")
		is.Equal(run.Command.Rest, "1a4 \xff\x00x") // byte for byte
		for i := range 10 {                         // reads its own write on every member
			id := fmt.Sprint("r", i)
			do(t, s, read(id))
			is.True(runOf(t, w.Cluster, id).Log.Covers(r.Mark))
		}
		miss := s.Do(context.Background(), chervilladder.Command{Kind: chervilladder.CommandExecute, ID: "m", Name: "s2", Rest: "1a4"})
		is.Equal(miss.Code, chervilladder.CodeNoStatement)

		do(t, s, begin())
		is.Equal(do(t, s, write("t1")).State, chervilladder.StateOpen)
		do(t, s, chervilladder.Command{Kind: chervilladder.CommandSet, ID: "s", Name: "lang", Rest: "en"})
		do(t, s, read("t2"))
		first, second := runOf(t, w.Cluster, "t1"), runOf(t, w.Cluster, "t2")
		is.Equal(first.Transaction, second.Transaction)
		is.Equal(second.Values["lang"], "en")
		is.Equal(do(t, s, commit()).State, chervilladder.StateIdle)
		is.Equal(logged(w.Cluster, clustertest.MemberID(0), "t1"), 1)

		do(t, s, begin())
		do(t, s, write("gone"))
		do(t, s, rollback())
		do(t, s, begin())
		do(t, s, write("left"))
		s.Close()
		time.Sleep(time.Second)
		is.Equal(logged(w.Cluster, clustertest.MemberID(0), "gone"), 0)
		is.Equal(logged(w.Cluster, clustertest.MemberID(0), "left"), 0)
	})
}

// If the VM that runs a session's work becomes unreachable, the session continues at
// another one and reads what it wrote through the first.
func TestForwardingToUnreachableVM(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 2, clustertest.OwnWritesDB)
		r := do(t, s, write("w"))
		w.VMs[0].Unreachable.Store(true)
		began := time.Now()
		do(t, s, read("r"))
		is.True(time.Since(began) < 600*time.Millisecond)
		is.True(runOf(t, w.Cluster, "r").Log.Covers(r.Mark))
		began = time.Now()
		do(t, s, write("w2")) // the unreachable VM is tried last now
		is.True(time.Since(began) < 100*time.Millisecond)
		is.Equal(logged(w.Cluster, clustertest.MemberID(0), "w2"), 1)
	})
}

// When the response to forwarded work is lost, the code returned must match what was
// committed, and no write may run twice.
func TestForwardingWithLostResponses(t *testing.T) {
	for name, c := range map[string]struct {
		commands []chervilladder.Command
		last     chervilladder.Command
		want     chervilladder.Code
	}{
		"read":            {nil, read("x"), chervilladder.CodeNone},
		"write":           {nil, write("x"), chervilladder.CodeInDoubt},
		"in transaction":  {[]chervilladder.Command{begin(), write("y")}, write("x"), chervilladder.CodeAborted},
		"first statement": {[]chervilladder.Command{begin()}, write("x"), chervilladder.CodeAborted},
		"commit":          {[]chervilladder.Command{begin(), write("x")}, commit(), chervilladder.CodeInDoubt},
		"commit of reads": {[]chervilladder.Command{begin(), read("y")}, commit(), chervilladder.CodeAborted},
	} {
		t.Run(name, func(t *testing.T) {
			forwarding(t, func(is *is.I, w *clustertest.World) {
				s := w.Open(t, 2, clustertest.PrimaryDB)
				for _, before := range c.commands {
					do(t, s, before)
				}
				w.VMs[0].LoseResponses.Store(true)
				r := s.Do(context.Background(), c.last)
				is.Equal(r.Code, c.want)
				w.VMs[0].LoseResponses.Store(false)
				if r.State != chervilladder.StateIdle {
					do(t, s, rollback())
				}
				time.Sleep(2 * time.Second)
				n := logged(w.Cluster, clustertest.MemberID(0), "x")
				is.True(n <= 1)
				if r.Code.PromisesNothingKept() {
					is.Equal(n, 0)
				}
				do(t, s, write("after"))
			})
		})
	}
}

// A VM that shuts down rejects forwarded work that hasn't begun there, which then runs
// at another one; transactions that have begun complete.
func TestForwardingToVMThatShutsDown(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		s, open := w.Open(t, 2, clustertest.PrimaryDB), w.Open(t, 2, clustertest.PrimaryDB)
		do(t, open, begin())
		do(t, open, write("begun"))
		w.VMs[0].RejectPeers.Store(true)
		do(t, s, write("w"))
		do(t, s, begin())
		do(t, s, write("t"))
		do(t, s, commit())
		do(t, open, commit())
		for _, id := range []string{"begun", "w", "t"} {
			is.Equal(logged(w.Cluster, clustertest.MemberID(0), id), 1)
		}
	})
}

// A VM starts to host the service itself while it forwards a prepared statement. The
// statement must then be sent under the shared name: the upstream doesn't know the
// caller's (regression: soak of forwarded work, seeds 67 and 68).
func TestVMStartsToHostDuringForwarding(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 2, clustertest.PrimaryDB)
		do(t, s, chervilladder.Command{Kind: chervilladder.CommandPrepare, ID: "p", Name: "s1", Access: chervilladder.AccessWrite, Rest: "q2c"})
		w.Forward(2, 7) // no such VM exists
		w.OnForward = func() {
			w.OnForward = nil
			w.VMs[2].Board.Hosting.Store(blackboard.Hosting{})
		}
		do(t, s, chervilladder.Command{Kind: chervilladder.CommandExecute, ID: "e", Name: "s1", Rest: "1a4 x"})
		is.Equal(runOf(t, w.Cluster, "e").Shape, "q2c")
	})
}

// When the primary goes down, the hosting VMs fail over, and forwarded work continues.
func TestForwardedWorkContinuesAfterFailover(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 2, clustertest.PrimaryDB)
		do(t, s, write("before"))
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		time.Sleep(6 * time.Second)
		do(t, s, write("after"))
		primary, _ := w.Cluster.Primary()
		is.Equal(logged(w.Cluster, primary, "before"), 1)
	})
}

// A VM that receives forwarded work for a service which it doesn't host records that.
func TestForwardedWorkForUnhostedServiceIsRecorded(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 3}, func(is *is.I, w *clustertest.World) {
		w.Forward(1, 0)
		w.Forward(2, 1)
		s := w.Open(t, 2, clustertest.PrimaryDB)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Do(ctx, read("r"))
		_, noted := w.VMs[1].Board.ForwardedAt.Load()[clustertest.Service]
		is.True(noted)
	})
}
