package failover_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/control/failover"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// lines returns the lines with a message.
func lines(h *logtest.Hook, message string) []*logrus.Entry {
	var list []*logrus.Entry
	for _, e := range h.AllEntries() {
		if e.Message == message {
			list = append(list, e)
		}
	}
	return list
}

// An incident's logs could not tell which replica had confirmed the lost commits (regression:
// issue 29).
func TestPromotionOrderLogsTheStateOfEachMember(t *testing.T) {
	var log logtest.Hook
	bubble(t, clustertest.Config{VMs: 1, Log: &log}, func(t *testing.T, is *is.I, w *clustertest.World) {
		is.Equal(write(w, w.Open(t, 0, clustertest.PrimaryDB), "before").Code, chervilladder.CodeNone)
		old, late := clustertest.MemberID(0), clustertest.Member(3)
		w.Cluster.Add(late)
		w.Cluster.Set(late.ID, func(f *cluster.Faults) { f.Silent, f.NoReplication = true, true })
		w.Cluster.Set(old, func(f *cluster.Faults) { f.NoReplication = true })
		go write(w, w.Open(t, 0, clustertest.PrimaryDB), "unconfirmed")
		var registered atomic.Bool
		w.VMs[0].Linker.OnStatus(func(_ chervilladder.UpstreamID, c chervilladder.Command) {
			if c.Kind == chervilladder.CommandPause && !registered.Swap(true) { // a member registers during the attempt, and leaves
				w.VMs[0].SetMembers(clustertest.Member(0), clustertest.Member(1), clustertest.Member(2), late)
				time.AfterFunc(450*time.Millisecond, func() {
					w.VMs[0].SetMembers(clustertest.Member(0), clustertest.Member(1), clustertest.Member(2))
				})
			}
		})
		primary, _ := awaitPrimary(t, w, old)
		states := lines(&log, "failover: state at the promotion order")
		is.Equal(len(states), 1) // one line an attempt
		data := states[0].Data
		is.Equal(data["candidate"], primary)
		is.Equal(data["order-term"], chervilladder.Term(2))
		members := data["members"].([]string)
		is.Equal(len(members), 3)
		is.True(strings.HasPrefix(members[0], "m0 old-primary status: received=1/2 ")) // holds the unconfirmed commit
		for i, text := range members[1:] {
			is.True(strings.HasPrefix(text, fmt.Sprintf("m%d pause-reply: received=1/1 pause-term=2 leads=false ago=", i+1)))
		}
		outside := data["outside"].([]string)
		is.Equal(len(outside), 1)
		is.True(strings.HasPrefix(outside[0], "m3 "))
		demotions := data["demotions"].([]string)
		is.Equal(len(demotions), 1)
		is.True(strings.HasPrefix(demotions[0], "m0 by=vm-0 ago="))
		is.True(strings.HasSuffix(demotions[0], " received=1/2 term=1"))
		is.True(data["departed-mark"] != nil)
	})
}

// The line of a failed attempt says what it leaves behind: here replicas that stay paused,
// since the record can't be renewed before the promotion order.
func TestFailedAttemptLogsWhatItLeavesBehind(t *testing.T) {
	var log logtest.Hook
	bubble(t, clustertest.Config{VMs: 1, Log: &log}, func(t *testing.T, is *is.I, w *clustertest.World) {
		w.VMs[0].Record.OnWrite(func(chervilladder.Leadership) {
			if len(lines(&log, "failover: replicas paused")) > 0 {
				return
			}
			w.VMs[0].Suspend(1100 * time.Millisecond) // the VM may not order a promotion any more
			w.VMs[0].Record.Unreachable.Store(true)
		})
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		time.Sleep(3 * time.Second)
		failed := lines(&log, "failover: primary not replaced or members not corrected")
		i := slices.IndexFunc(failed, func(e *logrus.Entry) bool { return len(e.Data["left-paused"].([]string)) > 0 })
		is.True(i >= 0)
		is.Equal(failed[i].Data["left-paused"], []string{"m1", "m2"})
		is.Equal(failed[i].Data["promotion-ordered"], false)
	})
}

func TestTakeoverLogsTheFormerRecord(t *testing.T) {
	var log logtest.Hook
	bubble(t, clustertest.Config{VMs: 3, Log: &log}, func(t *testing.T, is *is.I, w *clustertest.World) {
		holder := w.VMs[holderOf(w)]
		holder.Stop()
		log.Reset()
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		awaitPrimary(t, w, clustertest.MemberID(0))
		taken := lines(&log, "failover: leadership taken over")
		is.Equal(len(taken), 1)
		is.Equal(taken[0].Data["former-holder"], holder.Board.Self.ID)
		is.Equal(taken[0].Data["former-epoch"], chervilladder.Epoch(1))
		unchanged, err := time.ParseDuration(taken[0].Data["unchanged-for"].(string))
		is.NoErr(err)
		is.True(unchanged >= 2*time.Second)
	})
}

func TestAttemptsAreCountedByCauseAndOutcome(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 1}, func(t *testing.T, is *is.I, w *clustertest.World) {
		replaced := failover.Metrics.GetOrCreateCounter(`chervilladder_failover_attempts{cause="dead",outcome="replaced"}`)
		before := replaced.Get()
		w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		awaitPrimary(t, w, clustertest.MemberID(0))
		time.Sleep(time.Second)
		is.Equal(replaced.Get(), before+1)
	})
}
