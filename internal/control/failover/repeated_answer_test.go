package failover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// repeat sets which answers all members repeat.
func repeat(w *clustertest.World, f cluster.Repeat) {
	for i := range 3 {
		w.Cluster.Set(clustertest.MemberID(i), func(faults *cluster.Faults) { faults.Repeat = f })
	}
}

// A primary that works must not be replaced because statuses and other answers come twice.
func TestRepeatedAnswersDoNotReplaceAWorkingPrimary(t *testing.T) {
	bubble(t, clustertest.Config{VMs: 2}, func(t *testing.T, is *is.I, w *clustertest.World) {
		repeat(w, cluster.RandomRepeats(cluster.RandomRepeatsConfig{Seed: 32, Share: 1.0 / 12, MaxDelay: 200 * time.Millisecond}))
		s := w.Open(t, 0, clustertest.PrimaryDB)
		served := 0
		const writes = 1000
		for i := range writes {
			if write(w, s, fmt.Sprint("w", i)).Code == chervilladder.CodeNone {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(len(w.Cluster.Promotions()), 0)
		primary, term := w.Cluster.Primary()
		is.Equal(primary, clustertest.MemberID(0))
		is.Equal(term, chervilladder.Term(1))
		is.True(served*5 >= writes*4)
	})
}

// On a connection of the pool, an order must not be answered by the repeated answer to an
// earlier STATUS or order. Members that are full are sent orders on such connections.
func TestRepeatedStatusIsNotTheAnswerToAnOrder(t *testing.T) {
	for name, end := range map[string]func(*clustertest.World){
		"dead": func(w *clustertest.World) {
			w.Cluster.Set(clustertest.MemberID(0), func(f *cluster.Faults) { f.Down = true })
		},
		"leaving": func(w *clustertest.World) {
			leaving := clustertest.Member(0)
			leaving.Draining = true
			w.VMs[0].SetMembers(leaving, clustertest.Member(1), clustertest.Member(2))
		},
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", delay), func(t *testing.T) {
				var log logtest.Hook
				bubble(t, clustertest.Config{VMs: 1, Connections: 1, Log: &log}, func(t *testing.T, is *is.I, w *clustertest.World) {
					s := w.Open(t, 0, clustertest.PrimaryDB)
					is.Equal(write(w, s, "before").Code, chervilladder.CodeNone)
					repeat(w, func(c chervilladder.Command, _ chervilladder.Code) (time.Duration, bool) {
						switch c.Kind {
						case chervilladder.CommandStatus, chervilladder.CommandPause, chervilladder.CommandResume, chervilladder.CommandStepDown:
							return delay, true
						default:
							return 0, false
						}
					})
					time.Sleep(time.Second)
					end(w)
					awaitPrimary(t, w, clustertest.MemberID(0))
					time.Sleep(2 * time.Second)
					checkOrderAnswers(t, &log)
					is.Equal(write(w, s, "after").Code, chervilladder.CodeNone)
					checkKept(t, w, []string{"before", "after"})
				})
			})
		}
	}
}

// checkOrderAnswers checks that each order that was answered shows its effect in the answer.
func checkOrderAnswers(t *testing.T, log *logtest.Hook) {
	t.Helper()
	for _, sent := range lines(log, "failover: order sent") {
		if sent.Data["error"] != nil {
			continue
		}
		leads, _ := sent.Data["leads"].(bool)
		held, _ := sent.Data["held"].(chervilladder.Term)
		term, _ := sent.Data["order-term"].(chervilladder.Term)
		wrong := false
		switch sent.Data["order"] {
		case "pause":
			wrong = !leads && held < term
		case "resume":
			wrong = held != 0
		case "step-down":
			wrong = leads
		}
		if wrong {
			t.Errorf("the order %s of term %d to %s was answered by leads=%t held=%d", sent.Data["order"], term, sent.Data["upstream"], leads, held)
		}
	}
}
