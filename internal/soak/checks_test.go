package soak_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// acked is a commit and when its caller knew of it.
type acked struct {
	at   time.Time
	mark chervilladder.Mark
}

// check returns every promise that was broken.
func check(k *cluster.Cluster, attempts []attempt) []string {
	var broken []string
	fail := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	leader, _ := k.Leader()
	if leader == "" {
		return []string{"no member leads"}
	}
	kept := make(map[string]int)
	for _, e := range k.Log(leader) {
		for _, c := range e.Commands {
			kept[string(c.ID)]++
		}
	}
	runs := make(map[string][]cluster.Run)
	for _, r := range k.Runs() {
		runs[string(r.Command.ID)] = append(runs[string(r.Command.ID)], r)
	}
	var commits []acked
	for _, a := range attempts {
		if a.code == "ok" && len(a.writes) > 0 {
			commits = append(commits, acked{a.answered, a.mark})
		}
	}
	for _, a := range attempts {
		checkWrites(a, kept, fail)
		checkReads(a, runs, commits, fail)
		checkPinned(a, runs, fail)
	}
	checkOrders(k.Orders(), fail)
	return broken
}

type failFunc func(string, ...any)

// checkWrites: acknowledged is kept once, promised is not kept, nothing twice.
func checkWrites(a attempt, kept map[string]int, fail failFunc) {
	for id := range a.writes {
		switch n := kept[id]; {
		case n > 1:
			fail("TWICE: %s is kept %d times", id, n)
		case a.code == "ok" && n == 0:
			fail("LOST: %s was acknowledged at %s", id, a.answered.Format("15:04:05.000"))
		case promises[a.code] && n > 0:
			fail("REFUSED: %s was answered %s and is kept", id, a.code)
		case !a.committing && n > 0:
			fail("UNASKED: %s is kept, its commit was never sent", id)
		}
	}
}

// checkReads: rows are the caller's own, and the log was fresh enough.
func checkReads(a attempt, runs map[string][]cluster.Run, commits []acked, fail failFunc) {
	for id, got := range a.reads {
		signature, row := got[0], got[1]
		member, signed, _ := strings.Cut(signature, ".")
		if signed != id || !strings.HasPrefix(row, id) {
			fail("MIXED: %s was answered %q by %q", id, row, signature)
			continue
		}
		run, ok := lastRun(runs[id], chervilladder.UpstreamID(member))
		if !ok {
			fail("MIXED: %s has an answer of %s, which did not run it", id, member)
			continue
		}
		if a.shape != "" && run.Shape != a.shape {
			fail("PINNED: %s ran shape %q, not %q", id, run.Shape, a.shape)
		}
		if run.Values["who"] != a.value {
			fail("PINNED: %s ran with value %q, not %q", id, run.Values["who"], a.value)
		}
		before := a.asked
		if a.kind != "primary" {
			before = before.Add(-maxAge)
		}
		for _, c := range commits {
			if c.at.Before(before) && !run.Log.Covers(c.mark) {
				fail("STALE: %s (%s) asked at %s ran at %s on %s and lacks %s, acknowledged at %s", id, a.kind, a.asked.Format("15:04:05.000"), member, run.Log, c.mark, c.at.Format("15:04:05.000"))
				break
			}
		}
		if a.kind == "read_your_writes" && !run.Log.Covers(a.minimum) {
			fail("STALE: %s ran on %s and lacks %s of its own session", id, run.Log, a.minimum)
		}
	}
}

func lastRun(runs []cluster.Run, member chervilladder.UpstreamID) (cluster.Run, bool) {
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].Member == member {
			return runs[i], true
		}
	}
	return cluster.Run{}, false
}

// checkPinned: all statements of a transaction ran in one, and only they did.
func checkPinned(a attempt, runs map[string][]cluster.Run, fail failFunc) {
	transaction := uint64(0)
	for i, id := range a.ids {
		for _, r := range runs[id] {
			switch {
			case len(a.ids) == 1 && r.Transaction != 0:
				fail("PINNED: %s ran inside a transaction", id)
			case len(a.ids) > 1 && r.Transaction == 0:
				fail("PINNED: %s ran outside of its transaction", id)
			case i > 0 && transaction != 0 && r.Transaction != transaction:
				fail("PINNED: %s ran in another transaction", id)
			}
			transaction = r.Transaction
		}
	}
}

// checkOrders: epochs never fall, and no two holders share one.
func checkOrders(orders []cluster.Order, fail failFunc) {
	holders := make(map[chervilladder.Epoch]chervilladder.VMID)
	last := chervilladder.Epoch(0)
	for _, o := range orders {
		if o.Epoch < last {
			fail("ONE: epoch %d was ordered after %d", o.Epoch, last)
		}
		if h, ok := holders[o.Epoch]; ok && h != o.Holder {
			fail("ONE: epoch %d was used by %s and %s", o.Epoch, h, o.Holder)
		}
		last, holders[o.Epoch] = max(last, o.Epoch), o.Holder
	}
}
