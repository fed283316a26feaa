package session_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/decide/lead"
)

// A VM all of whose connections to the primary are in use when it is cut off must still
// find out: the polls waited for a connection in vain, which counted as a sign that the
// primary was only busy, and the VM kept its work for itself while that went on.
func TestVMWithAllConnectionsInUseFindsThePrimaryUnreachable(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(is *is.I, w *clustertest.World) {
		var open []chervilladder.Session
		for i := range 7 { // a third of the service's 22 connections
			s := w.Open(t, 0, clustertest.PrimaryDB)
			open = append(open, s)
			do(t, s, begin())
			do(t, s, write(fmt.Sprint("w", i)))
		}
		w.VMs[0].Linker.SetUnreachable(true, clustertest.MemberID(0))
		time.Sleep(1500 * time.Millisecond)
		c := w.VMs[0].Board.Clusters.Get(clustertest.Service)
		unreachable := lead.PrimaryUnreachable(c.View.Load(), c.PeerReport.Load(), time.Now())
		for _, s := range open {
			s.Close()
		}
		time.Sleep(2 * time.Second) // the roll-backs end
		is.True(unreachable)
	})
}
