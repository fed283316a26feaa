package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// atOnce is how soon work is refused that this VM can't have run.
const atOnce = 50 * time.Millisecond

// A VM that reaches the primary and none of its replicas can prove no read, and the
// primary confirms no write for it that it could tell of. It says so at once, while
// there is time left to try another VM.
func TestVMThatReachesNoReplicaRefusesAtOnce(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		replicas := []chervilladder.UpstreamID{clustertest.MemberID(1), clustertest.MemberID(2)}
		w.VMs[0].Linker.Off(true, replicas...)
		w.VMs[1].Dark.Store(true) // split off from its peers too
		time.Sleep(2 * time.Second)
		for db, command := range map[chervilladder.DatabaseID]chervilladder.Command{
			clustertest.Primary: read("r"), clustertest.Own: write("w"), clustertest.Bounded: read("b"),
		} {
			s := w.Open(t, 0, db)
			began := time.Now()
			r := s.Do(context.Background(), command)
			is.Equal(r.Code, chervilladder.CodeBusy)
			is.True(time.Since(began) < atOnce)
		}
		s := w.Open(t, 0, clustertest.Primary)
		do(t, s, begin())
		began := time.Now()
		is.Equal(s.Do(context.Background(), write("t")).Code, chervilladder.CodeBusy)
		is.True(time.Since(began) < atOnce)
		do(t, s, rollback())
		other := w.Open(t, 1, clustertest.Primary)
		do(t, other, write("o")) // the other VM serves
		is.Equal(kept(w.Cluster, clustertest.MemberID(0), "w")+kept(w.Cluster, clustertest.MemberID(0), "t"), 0)

		w.VMs[0].Linker.Off(false, replicas...)
		time.Sleep(time.Second)
		do(t, s, write("again"))
	})
}

// One that has not reached the primary for longer than a replacement takes does the
// same; until then it waits for the new one.
func TestVMThatReachesNoPrimaryRefusesInTheEnd(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		w.VMs[0].Record.Off.Store(true) // it does not replace the primary
		w.VMs[1].Dark.Store(true)       // and reaches no peer
		w.VMs[0].Linker.Off(true, clustertest.MemberID(0))
		time.Sleep(time.Second)
		s := w.Open(t, 0, clustertest.Own)
		began := time.Now()
		s.Do(context.Background(), write("early"))
		is.True(time.Since(began) > 500*time.Millisecond)
		time.Sleep(3 * time.Second)
		began = time.Now()
		is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeBusy)
		is.True(time.Since(began) < atOnce)
	})
}

// Work is passed to another host than one that can't have it run.
func TestHostThatReachesNoReplicaIsPassedOver(t *testing.T) {
	passing(t, func(is *is.I, w *clustertest.World) {
		w.VMs[0].Linker.Off(true, clustertest.MemberID(1), clustertest.MemberID(2))
		time.Sleep(2 * time.Second)
		s := w.Open(t, 2, clustertest.Primary)
		began := time.Now()
		do(t, s, write("w"))
		do(t, s, read("r"))
		do(t, s, begin())
		do(t, s, write("t"))
		do(t, s, commit())
		is.True(time.Since(began) < 300*time.Millisecond)
	})
}

// A VM that has lost its way to the primary, or to its replicas, passes work to a peer
// that has not. Found by days on which primaries are out of reach of half of the VMs:
// each was replaced, though the others had it.
func TestWorkGoesToAPeerThatReachesThePrimary(t *testing.T) {
	for name, off := range map[string][]int{"primary": {0}, "replicas": {1, 2}, "all": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 3, Lag: 60 * time.Millisecond}, func(is *is.I, w *clustertest.World) {
				open := w.Open(t, 0, clustertest.Own)
				do(t, open, write("before"))
				for _, i := range off {
					w.VMs[0].Linker.Off(true, clustertest.MemberID(i))
				}
				time.Sleep(1200 * time.Millisecond)
				began := time.Now()
				wrote := do(t, open, write("w"))
				do(t, open, read("r"))
				is.True(runOf(t, w.Cluster, "r").Log.Covers(wrote.Mark))
				for _, db := range []chervilladder.DatabaseID{clustertest.Primary, clustertest.Bounded} {
					s := w.Open(t, 0, db)
					do(t, s, read("r"+string(db)))
					do(t, s, begin())
					do(t, s, write("t"+string(db)))
					do(t, s, commit())
				}
				is.True(time.Since(began) < 400*time.Millisecond)
				other := w.Open(t, 1, clustertest.Primary)
				for i := range 40 { // nor do callers of other VMs notice
					began := time.Now()
					do(t, other, write(fmt.Sprint("o", i)))
					is.True(time.Since(began) < 200*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(len(w.Cluster.Orders()), 0)

				for _, i := range off {
					w.VMs[0].Linker.Off(false, clustertest.MemberID(i))
				}
				time.Sleep(time.Second)
				w.VMs[1].Dark.Store(true)
				w.VMs[2].Dark.Store(true)
				do(t, open, write("after")) // it goes there itself again
			})
		})
	}
}

// One command without an answer does not keep the next ones from a peer that has told
// since that it reaches the primary.
func TestPeerThatLostAnAnswerIsAskedAgain(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		w.VMs[0].Linker.Off(true, clustertest.MemberID(0))
		time.Sleep(1200 * time.Millisecond)
		s := w.Open(t, 0, clustertest.Primary)
		do(t, s, write("w"))
		w.VMs[1].LoseAnswers.Store(true)
		is.Equal(s.Do(context.Background(), write("lost")).Code, chervilladder.CodeInDoubt)
		w.VMs[1].LoseAnswers.Store(false)
		time.Sleep(500 * time.Millisecond)
		do(t, s, write("again"))
	})
}

// Two of three members are lost for good, the primary among them: the third may lack
// what they had acknowledged, so nothing is promoted, and callers are told at once.
// Found by a day that loses two members at the same moment: callers were held up to
// their timeouts.
func TestServiceWithoutAPrimaryRefusesInTheEnd(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		for i := range 2 {
			w.Cluster.Set(clustertest.MemberID(i), func(f *cluster.Faults) { f.Down = true })
		}
		time.Sleep(4 * time.Second)
		for _, vm := range w.VMs { // their entries have lapsed by now
			vm.Enroll(clustertest.Member(2))
		}
		time.Sleep(time.Second)
		for _, db := range []chervilladder.DatabaseID{clustertest.Primary, clustertest.Own} {
			s := w.Open(t, 0, db)
			began := time.Now()
			is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeBusy)
			is.True(time.Since(began) < atOnce)
		}
		is.Equal(len(w.Cluster.Orders()), 0)
	})
}
