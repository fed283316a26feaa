package group

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

var (
	three = []chervilladder.UpstreamID{"a", "b", "c"}
	five  = []chervilladder.UpstreamID{"a", "b", "c", "d", "e"}
)

// The limit of a failover and the waits of the tests, in virtual time.
const (
	failoverLimit = 6 * time.Second
	settled       = 3 * time.Second
	longRun       = 15 * time.Second
)

// primaryFaults are the ways in which a primary can fail.
var primaryFaults = map[string]func(*fakeState){
	"down":    func(s *fakeState) { s.down = true },
	"frozen":  func(s *fakeState) { s.frozen = true },
	"cut off": func(s *fakeState) { s.cutOff = true },
	"stepped down": func(s *fakeState) {
		s.accept(chervilladder.Ballot{Term: 2, Attempt: "of a VM that died"})
	},
}

func TestReplacesPrimary(t *testing.T) {
	for name, fail := range primaryFaults {
		for _, ids := range [][]chervilladder.UpstreamID{three, five} {
			t.Run(name, func(t *testing.T) {
				testFleet(t, ids, func(f *fleet) {
					board := f.add("vm", f.group.dial())
					f.awaitOpen(board)
					time.Sleep(settled)
					f.group.change("a", fail)
					time.Sleep(100 * time.Millisecond)
					_, gap := f.awaitOpen(board, "a")
					t.Logf("%d members: open after %v", len(ids), gap)
					is.New(t).True(gap < failoverLimit)
					time.Sleep(settled)
				})
			})
		}
	}
}

func TestLiveGroupKeepsPrimary(t *testing.T) {
	cases := map[string]func(f *fleet){
		"slow primary": func(f *fleet) {
			f.group.setDelay(func(call string, id chervilladder.UpstreamID) time.Duration {
				if id == "a" {
					return 2 * time.Second
				}
				return 0
			})
		},
		"primary not reached": func(f *fleet) {
			// The replicas are still in contact with it.
			f.group.lose("status", 200)
		},
		"one unreachable replica": func(f *fleet) { f.group.change("b", func(s *fakeState) { s.cutOff = true }) },
		"one replica down":        func(f *fleet) { f.group.change("b", func(s *fakeState) { s.down = true }) },
		"paused VM": func(f *fleet) {
			paused := false
			f.group.setDelay(func(string, chervilladder.UpstreamID) time.Duration {
				if paused {
					return 0
				}
				paused = true
				return 30 * time.Second
			})
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			testFleet(t, three, func(f *fleet) {
				board := f.add("vm", f.group.dial())
				f.awaitOpen(board)
				fault(f)
				time.Sleep(longRun)
				is.New(t).Equal(f.terms(), 1)
			})
		})
	}
}

// TestStartKeepsPrimary checks that a newly started supervisor doesn't promote a
// replica when no replica has had contact with the primary yet.
func TestStartKeepsPrimary(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		for _, id := range three {
			f.group.change(id, func(s *fakeState) { s.lastContact, s.cutOff = time.Time{}, true })
		}
		board := f.add("vm", f.group.dial())
		time.Sleep(500 * time.Millisecond)
		for _, id := range three {
			f.group.change(id, func(s *fakeState) { s.cutOff = false })
		}
		f.awaitOpen(board)
		time.Sleep(settled)
		is.New(t).Equal(f.terms(), 1)
	})
}

// TestAnswerLost checks that a promotion succeeds although responses to each of
// its calls are lost.
func TestAnswerLost(t *testing.T) {
	for _, call := range []string{"accept", "promote", "claim", "follow"} {
		for lost := 1; lost <= 3; lost++ {
			t.Run(call, func(t *testing.T) {
				testFleet(t, three, func(f *fleet) {
					board := f.add("vm", f.group.dial())
					f.awaitOpen(board)
					f.group.lose(call, lost)
					f.group.change("a", func(s *fakeState) { s.down = true })
					_, gap := f.awaitOpen(board, "a")
					t.Logf("%d answers to %s lost: open after %v", lost, call, gap)
					time.Sleep(settled)
				})
			})
		}
	}
}

// TestPausedSupervisor pauses a VM for 10 s at each step of a promotion, while
// another VM has not detected the failure or promotes a replica too.
func TestPausedSupervisor(t *testing.T) {
	for _, call := range []string{"accept", "promote", "claim", "follow"} {
		t.Run(call, func(t *testing.T) {
			testFleet(t, three, func(f *fleet) {
				paused := false
				f.group.setDelay(func(c string, _ chervilladder.UpstreamID) time.Duration {
					if c != call || paused {
						return 0
					}
					paused = true
					return 10 * time.Second
				})
				board := f.add("vm-1", f.group.dial())
				other := f.add("vm-2", f.group.dial("a"))
				f.awaitOpen(board)
				f.group.change("a", func(s *fakeState) { s.down = true })
				time.Sleep(15 * time.Second)
				setOwner(other, "vm-1")
				f.awaitOpen(board, "a")
			})
		})
	}
}

// TestUnreachableFromOneVM checks that a primary that one of two VMs can't reach
// isn't replaced, but one that its replicas can't reach is.
func TestUnreachableFromOneVM(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		f.add("vm-1", f.group.dial())
		f.add("vm-2", f.group.dial("a"))
		time.Sleep(longRun)
		is.New(t).Equal(f.terms(), 1)
		f.group.change("a", func(s *fakeState) { s.cutOff = true })
		time.Sleep(longRun)
		id, _ := f.group.primary()
		is.New(t).True(id != "a")
	})
}

// TestConcurrentPromotions has three VMs replace a primary at the same time.
func TestConcurrentPromotions(t *testing.T) {
	testFleet(t, five, func(f *fleet) {
		for _, vm := range []chervilladder.VMID{"vm-1", "vm-2", "vm-3"} {
			f.add(vm, f.group.dial())
		}
		time.Sleep(settled)
		f.group.change("a", func(s *fakeState) { s.down = true })
		time.Sleep(longRun)
		setOwner(f.boards[1], "vm-1")
		setOwner(f.boards[2], "vm-1")
		f.awaitOpen(f.boards[0], "a")
	})
}

// TestNewOwnerReplacesFailedPrimary starts a VM that has never reached a primary.
func TestNewOwnerReplacesFailedPrimary(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		f.group.change("a", func(s *fakeState) { s.down = true })
		board := f.add("vm", f.group.dial())
		_, gap := f.awaitOpen(board, "a")
		is.New(t).True(gap < failoverLimit)
	})
}

// TestDemotedPrimaryWithLastWrites leaves a majority in which only the demoted
// primary holds the last writes.
func TestDemotedPrimaryWithLastWrites(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.group.change("b", func(s *fakeState) { s.lags = true })
		time.Sleep(settled)
		f.group.change("c", func(s *fakeState) { s.down = true })
		for _, id := range []chervilladder.UpstreamID{"a", "b"} {
			f.group.change(id, func(s *fakeState) { s.accept(chervilladder.Ballot{Term: 2, Attempt: "of a VM that died"}) })
		}
		f.awaitOpen(board)
	})
}

// TestRemovedMember checks that the status of a member is dropped when the
// member leaves the configuration.
func TestRemovedMember(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		time.Sleep(settled)
		f.configure(board, "a", "b")
		time.Sleep(settled)
		g := board.Databases.Get(ledger).Group.Load()
		_, known := g.Members["c"]
		is.New(t).True(!known)
		is.New(t).Equal(g.Size, 2)
	})
}

// TestOwnershipReturns moves the ownership of a database away and back while a
// call of the first supervisor is running: only one supervisor may write the
// group.
func TestOwnershipReturns(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		_, before := f.group.primary()
		// Calls of the first supervisor take 300 ms, those of the second no time.
		f.group.setDelay(func(string, chervilladder.UpstreamID) time.Duration { return 300 * time.Millisecond })
		time.Sleep(time.Second)
		setOwner(board, "other")
		time.Sleep(10 * time.Millisecond)
		f.group.setDelay(nil)
		setOwner(board, "vm")
		time.Sleep(settled)
		f.awaitOpen(board)
		_, after := f.group.primary()
		is.New(t).Equal(after.claim, before.claim+1) // one more claim, by the second supervisor
	})
}

// TestOwnClaim checks that the VM claims again without ClaimBackoff when a delayed
// request of its own has raised the claim.
func TestOwnClaim(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		f.group.change("a", func(s *fakeState) { s.claim++ })
		_, gap := f.awaitOpen(board)
		is.New(t).True(gap < time.Second)
	})
}

// TestMovedPrimary checks that a primary whose address has changed is claimed
// again.
func TestMovedPrimary(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		board := f.add("vm", f.group.dial())
		f.awaitOpen(board)
		_, before := f.group.primary()
		db := &chervilladder.Database{ID: ledger}
		for _, id := range three {
			db.Upstreams = append(db.Upstreams, chervilladder.Upstream{ID: id, Address: "moved-" + chervilladder.Address(id), Slots: 1})
		}
		f.publish(board, db)
		time.Sleep(settled)
		f.awaitOpen(board)
		_, after := f.group.primary()
		is.New(t).True(after.claim > before.claim)
	})
}

// stoppedSupervisor returns a supervisor that isn't running, to test single steps.
func stoppedSupervisor() *supervisor {
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &supervisor{Config: Config{Board: board}, state: board.Databases.Get(ledger), log: logrus.NewEntry(log)}
}

// TestOldStatuses checks that a status or failure is dropped if it was requested
// before the stored status, or arrives after the watcher has stopped.
func TestOldStatuses(t *testing.T) {
	is := is.New(t)
	s, requestedAt := stoppedSupervisor(), time.Unix(100, 0)
	s.recordStatus(t.Context(), "a", chervilladder.MemberStatus{Term: 2}, 7, requestedAt)
	s.recordStatus(t.Context(), "a", chervilladder.MemberStatus{Term: 1}, 6, requestedAt.Add(-time.Second))
	s.recordFailure(t.Context(), "a", requestedAt.Add(-time.Second), errFake)
	v := s.state.Group.Load().Members["a"]
	is.Equal(v.Poll, blackboard.PollNumber(7))
	is.Equal(v.Status.Term, chervilladder.Term(2))
	is.NoErr(v.Err)
	ended, stop := context.WithCancel(t.Context())
	stop()
	s.recordStatus(ended, "a", chervilladder.MemberStatus{Term: 3}, 8, requestedAt.Add(time.Second))
	is.Equal(s.state.Group.Load().Members["a"].Poll, blackboard.PollNumber(7)) // its watcher has stopped
}

// TestNoContactCountsInOneTerm checks that missing contact in an earlier term
// doesn't count against the primary of a new term.
func TestNoContactCountsInOneTerm(t *testing.T) {
	is := is.New(t)
	s, requestedAt := stoppedSupervisor(), time.Unix(100, 0)
	s.recordStatus(t.Context(), "b", chervilladder.MemberStatus{Term: 1, SinceContact: -1}, 1, requestedAt)
	s.recordStatus(t.Context(), "b", chervilladder.MemberStatus{Term: 1, SinceContact: -1}, 2, requestedAt.Add(time.Second))
	is.Equal(s.state.Group.Load().Members["b"].NoContactSince, requestedAt)
	s.recordStatus(t.Context(), "b", chervilladder.MemberStatus{Term: 2, SinceContact: -1}, 3, requestedAt.Add(2*time.Second))
	is.Equal(s.state.Group.Load().Members["b"].NoContactSince, requestedAt.Add(2*time.Second))
}

// TestTermNeverDecreases checks that the supervisor keeps the primary that it
// promoted while the members' statuses are older.
func TestTermNeverDecreases(t *testing.T) {
	s := stoppedSupervisor()
	s.adopt("b", 2)
	s.recordStatus(t.Context(), "a", chervilladder.MemberStatus{Term: 1, Role: chervilladder.RolePrimary}, 1, time.Unix(100, 0))
	db := &chervilladder.Database{}
	s.claimAfter = time.Now().Add(time.Hour)
	s.step(t.Context(), db, s.state.Group.Load())
	is.New(t).Equal(s.state.Group.Load().Primary, chervilladder.UpstreamID("b"))
}

// TestClaimInOlderTerm checks that a claim is dropped if the primary answers in
// another term than the group's.
func TestClaimInOlderTerm(t *testing.T) {
	testFleet(t, three, func(f *fleet) {
		s := stoppedSupervisor()
		s.CallTimeout, s.Dial = time.Second, f.group.dial()
		db := &chervilladder.Database{Upstreams: []chervilladder.Upstream{{ID: "a"}}}
		s.adopt("a", 2)
		s.claim(f.ctx, db, s.state.Group.Load())
		is.New(t).True(!s.state.Group.Load().Open())
	})
}
