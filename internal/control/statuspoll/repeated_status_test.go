package statuspoll_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// repeatStatuses has a member repeat each status after a delay.
func repeatStatuses(w *clustertest.World, id chervilladder.UpstreamID, delay time.Duration) {
	w.Cluster.Set(id, func(f *cluster.Faults) {
		f.Repeat = func(c chervilladder.Command, _ chervilladder.Code) (time.Duration, bool) {
			return delay, c.Kind == chervilladder.CommandStatus
		}
	})
}

// A primary that has been demoted must not be seen as primary for a repeated status from
// before.
func TestRepeatedStatusDoesNotShowADemotedPrimary(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 200 * time.Millisecond} {
		bubble(t, clustertest.Config{}, func(_ *testing.T, is *is.I, w *clustertest.World, view func() blackboard.ClusterView) {
			m := clustertest.MemberID(0)
			w.VMs[0].Record.Unreachable.Store(true) // nobody is promoted
			repeatStatuses(w, m, delay)
			time.Sleep(3 * time.Second)
			conn, err := w.Cluster.Connect(m, clustertest.Service, m, nil)
			is.NoErr(err)
			_, err = conn.Control(chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: 2})
			is.NoErr(err)
			conn.Close()
			demoted := time.Now()
			for time.Since(demoted) < 3*time.Second {
				time.Sleep(time.Millisecond)
				o := view().Members[m]
				is.True(!o.Status.Primary || !o.RequestedAt.After(demoted)) // not by a later request
			}
			is.True(view().Members[m].RequestedAt.After(demoted))
		})
	}
}

// A primary whose statuses come twice responds and has the newest position.
func TestRepeatedStatusDoesNotHideCommits(t *testing.T) {
	bubble(t, clustertest.Config{}, func(t *testing.T, is *is.I, w *clustertest.World, view func() blackboard.ClusterView) {
		m := clustertest.MemberID(0)
		repeatStatuses(w, m, time.Millisecond)
		s := w.Open(t, 0, clustertest.PrimaryDB)
		for range 200 {
			s.Do(t.Context(), chervilladder.Command{Kind: chervilladder.CommandWrite, ID: "w", Rest: "1a4 x"})
			held, at := len(w.Cluster.Log(m)), time.Now()
			time.Sleep(20 * time.Millisecond)
			o := view().Members[m]
			is.True(o.Answers())
			is.True(!o.RequestedAt.After(at) || int(o.Status.Received.Position) >= held)
		}
	})
}
