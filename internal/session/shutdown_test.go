package session_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/decide/shutdown"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// stopIn begins the shutdown of a VM, which must have answered all work after a time. It
// closes idle sessions already.
func stopIn(vm *clustertest.VM, d time.Duration) time.Time {
	answerBy := time.Now().Add(d)
	vm.Board.Local.Store(blackboard.Local{Shutdown: shutdown.Plan{CloseIdle: time.Now(), AnswerBy: answerBy}})
	return answerBy
}

// Work that can't be answered before the VM has shut down is refused at once. The routes
// of these tests have a timeout of 1 s and a target of 400 ms.
func TestVMThatShutsDownRefusesWhatItCantAnswer(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		stopIn(w.VMs[0], 1500*time.Millisecond)
		do(t, s, write("in-time"))
		stopIn(w.VMs[0], 900*time.Millisecond)
		r := s.Do(context.Background(), write("late"))
		is.Equal(r.Code, chervilladder.CodeBusy)
		is.Equal(r.Text, "draining; retry after 300 ms")
		is.Equal(s.Do(context.Background(), begin()).Code, chervilladder.CodeBusy)
		do(t, s, read("a-read-is-usually-faster"))
		stopIn(w.VMs[0], 300*time.Millisecond)
		is.Equal(s.Do(context.Background(), read("late-read")).Code, chervilladder.CodeBusy)
		_, err := w.VMs[0].Sessions.Open(clustertest.PrimaryDB, "caller")
		var notRun *chervilladder.NotRunError
		is.True(errors.As(err, &notRun))
		is.Equal(notRun.Reason, chervilladder.ReasonDraining)
		is.Equal(len(runsOf(w.Cluster, "late"))+len(runsOf(w.Cluster, "late-read")), 0)
	})
}

// What was taken is answered in time, also if the upstream doesn't answer (regression:
// review/4).
func TestVMThatShutsDownAnswersWhatItTook(t *testing.T) {
	bubble(t, clustertest.Config{}, func(is *is.I, w *clustertest.World) {
		s := w.Open(t, 0, clustertest.PrimaryDB)
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.WorkTime = 10 * time.Second })
		vm := w.VMs[0]
		plan := shutdown.Plan{CloseIdle: time.Now().Add(200 * time.Millisecond), AnswerBy: time.Now().Add(700 * time.Millisecond)}
		vm.Board.Local.Store(blackboard.Local{Shutdown: plan})
		is.Equal(s.Do(context.Background(), write("w")).Code, chervilladder.CodeInDoubt)
		is.True(!time.Now().After(plan.AnswerBy))
	})
}

// A transaction goes on while its statements are usually answered in time. A COMMIT that
// might end in doubt rolls it back instead.
func TestTransactionOfAVMThatShutsDown(t *testing.T) {
	for name, forwarded := range map[string]bool{"here": false, "forwarded": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
				if forwarded {
					w.Forward(0, 1)
				}
				open := func() chervilladder.Session {
					s := w.Open(t, 0, clustertest.PrimaryDB)
					do(t, s, begin())
					return s
				}
				s, late, rolledBack := open(), open(), open()
				do(t, rolledBack, write("rolled-back"))
				stopIn(w.VMs[0], 1100*time.Millisecond)
				do(t, s, write("kept"))
				do(t, s, commit())
				stopIn(w.VMs[0], 500*time.Millisecond)
				do(t, late, write("not-kept"))
				r := late.Do(context.Background(), commit())
				is.Equal(r.Code, chervilladder.CodeAborted)
				is.Equal(r.State, chervilladder.StateIdle)
				stopIn(w.VMs[0], 100*time.Millisecond)
				r = rolledBack.Do(context.Background(), read("r"))
				is.Equal(r.Code, chervilladder.CodeAborted)
				is.Equal(r.State, chervilladder.StateFailed)
				do(t, rolledBack, rollback())
				time.Sleep(time.Second)
				primary := clustertest.MemberID(0)
				is.Equal(logged(w.Cluster, primary, "kept"), 1)
				is.Equal(logged(w.Cluster, primary, "not-kept")+logged(w.Cluster, primary, "rolled-back"), 0)
			})
		})
	}
}

// Open transactions count as work in flight at each VM that they run through, also while
// no command runs.
func TestWorkInFlightIsCounted(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		w.Forward(0, 1)
		inFlight := func() [2]int64 {
			return [2]int64{w.VMs[0].Board.InFlight.Load(), w.VMs[1].Board.InFlight.Load()}
		}
		s := w.Open(t, 0, clustertest.PrimaryDB)
		do(t, s, write("w"))
		time.Sleep(time.Second)
		is.Equal(inFlight(), [2]int64{0, 0})
		do(t, s, begin())
		do(t, s, write("t"))
		is.Equal(inFlight(), [2]int64{1, 1})
		do(t, s, commit())
		time.Sleep(time.Second)
		is.Equal(inFlight(), [2]int64{0, 0})
		abandoned := w.Open(t, 1, clustertest.PrimaryDB)
		do(t, abandoned, begin())
		is.Equal(inFlight(), [2]int64{0, 1})
		abandoned.Close()
		is.Equal(inFlight(), [2]int64{0, 0})
	})
}
