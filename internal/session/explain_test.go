package session_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
)

// An explanation names the VM that forwarded work goes to, and sends nothing.
func TestExplainNamesTheHostThatWorkGoesTo(t *testing.T) {
	forwarding(t, func(is *is.I, w *clustertest.World) {
		forwards := 0
		w.OnForward = func() { forwards++ }
		e := w.VMs[2].Sessions.Explain(chervilladder.ExplainQuery{Database: clustertest.PrimaryDB, Access: chervilladder.AccessWrite})
		is.Equal(e.Decision, chervilladder.DecisionForward)
		is.True(len(e.Hosts) > 0)
		is.Equal(forwards, 0)
		chosen := chervilladder.VMID("")
		for _, h := range e.Hosts {
			if h.Chosen {
				chosen = h.VM
			}
		}
		is.True(chosen != "")
		do(t, w.Open(t, 2, clustertest.PrimaryDB), write("w"))
		is.Equal(forwards, 1)
	})
}

// At a VM that hosts the service, an explanation says which members may run the work, and
// what rules the others out.
func TestExplainNamesTheMembersThatMayRunWork(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(is *is.I, w *clustertest.World) {
		usable := func(e chervilladder.Explanation) (list []chervilladder.UpstreamID) {
			for _, m := range e.Members {
				is.Equal(m.Usable, m.Against == "")
				if m.Usable {
					list = append(list, m.Upstream)
				}
			}
			return list
		}
		q := chervilladder.ExplainQuery{Database: clustertest.PrimaryDB, Access: chervilladder.AccessWrite}
		e := w.VMs[0].Sessions.Explain(q)
		is.Equal(e.Decision, chervilladder.DecisionRun)
		is.Equal(usable(e), []chervilladder.UpstreamID{clustertest.MemberID(0)}) // the primary
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(0), clustertest.MemberID(1), clustertest.MemberID(2))
		time.Sleep(4 * time.Second)
		e = w.VMs[0].Sessions.Explain(q)
		is.Equal(e.Decision, chervilladder.DecisionRefuse)
		is.Equal(e.Reason, chervilladder.ReasonNoPrimary)
		is.Equal(len(usable(e)), 0)
	})
}

func TestExplainRefusesWhatHasNoRoute(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(is *is.I, w *clustertest.World) {
		e := w.VMs[0].Sessions.Explain(chervilladder.ExplainQuery{Database: "nothing"})
		is.Equal(e.Decision, chervilladder.DecisionRefuse)
		is.Equal(e.Reason, chervilladder.ReasonUnknownDB)
	})
}
