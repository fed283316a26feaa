package session_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// answered records the answers to callers' statements, none of whose ids contains
// another.
type answered struct {
	// other is a session beside that of the statements.
	other chervilladder.Session

	mu   sync.Mutex
	list []answeredStatement
	// lang is the value of the variable of a session, for those that use set or reset.
	lang map[chervilladder.Session]string
}

type answeredStatement struct {
	command chervilladder.Command
	result  chervilladder.Result
	// transaction is set for a statement of a transaction.
	transaction bool
	// lang is the value of its session's variable; nil if that isn't known.
	lang *string
	// commit is the answer to the COMMIT, if one was sent.
	commit *chervilladder.Result
}

func (a *answered) add(s chervilladder.Session, list ...answeredStatement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, statement := range list {
		if lang, known := a.lang[s]; known {
			statement.lang = &lang
		}
		a.list = append(a.list, statement)
	}
}

// statement runs a statement outside of a transaction and reports whether it was served.
func (a *answered) statement(s chervilladder.Session, c chervilladder.Command) bool {
	r := s.Do(context.Background(), c)
	a.add(s, answeredStatement{command: c, result: r})
	return r.Code == chervilladder.CodeNone
}

// transaction runs a transaction with a read and a write, and reports whether it was served.
func (a *answered) transaction(s chervilladder.Session, id string) bool {
	if s.Do(context.Background(), begin()).Code != chervilladder.CodeNone {
		return false
	}
	var list []answeredStatement
	for _, c := range []chervilladder.Command{write(id + "-tw"), read(id + "-tr")} {
		r := s.Do(context.Background(), c)
		list = append(list, answeredStatement{command: c, result: r, transaction: true})
		if r.Code != chervilladder.CodeNone {
			s.Do(context.Background(), rollback())
			a.add(s, list...)
			return false
		}
	}
	r := s.Do(context.Background(), commit())
	for i := range list {
		list[i].commit = &r
	}
	a.add(s, list...)
	return r.Code == chervilladder.CodeNone
}

// violations returns what callers were told that didn't happen: the answer to another
// statement, a refusal of what ran, and a statement outside of its transaction.
func (a *answered) violations(w *clustertest.World) []string {
	var found []string
	primary, _ := w.Cluster.Primary()
	if primary == "" {
		found = append(found, "no member is primary")
	}
	for _, s := range a.list {
		id := string(s.command.ID)
		for _, run := range runsOf(w.Cluster, id) {
			if (run.Transaction != 0) != s.transaction {
				found = append(found, fmt.Sprintf("%s ran in transaction %d", id, run.Transaction))
			}
		}
		if s.result.Code == chervilladder.CodeNone && !ownAnswer(s) {
			found = append(found, fmt.Sprintf("%s got the rows %q and the signature %q", id, s.result.Rows, s.result.Signature))
		}
		if s.result.Code == chervilladder.CodeNone && !s.ranWithItsValue(runsOf(w.Cluster, id)) {
			found = append(found, fmt.Sprintf("%s ran without the value %q of its session", id, *s.lang))
		}
		if s.command.Kind == chervilladder.CommandWrite && primary != "" {
			found = append(found, s.checkWrite(logged(w.Cluster, primary, id))...)
		}
	}
	return found
}

// ranWithItsValue reports whether one of the runs of a statement had its session's value.
func (s answeredStatement) ranWithItsValue(runs []cluster.Execution) bool {
	return s.lang == nil || slices.ContainsFunc(runs, func(r cluster.Execution) bool { return r.Values["lang"] == *s.lang })
}

func ownAnswer(s answeredStatement) bool {
	id := string(s.command.ID)
	if !strings.Contains(string(s.result.Signature), id) {
		return false
	}
	if s.command.Kind == chervilladder.CommandWrite {
		return len(s.result.Rows) == 0
	}
	return len(s.result.Rows) == 1 && s.result.Rows[0] == id+s.command.Rest
}

// checkWrite compares the outcome of a write with how often it is in the log.
func (s answeredStatement) checkWrite(times int) []string {
	last := s.result
	if s.transaction && s.commit != nil && last.Code == chervilladder.CodeNone {
		last = *s.commit
	}
	acked := last.Code == chervilladder.CodeNone && (!s.transaction || s.commit != nil)
	refused := last.Code.PromisesNothingKept() || s.transaction && s.commit == nil
	switch {
	case times > 1:
		return []string{fmt.Sprintf("%s was committed %d times", s.command.ID, times)}
	case acked && times == 0:
		return []string{fmt.Sprintf("%s was acknowledged and isn't committed", s.command.ID)}
	case refused && times > 0:
		return []string{fmt.Sprintf("%s was answered with code %d and is committed", s.command.ID, last.Code)}
	default:
		return nil
	}
}

func (a *answered) check(t *testing.T, w *clustertest.World) {
	t.Helper()
	time.Sleep(2 * time.Second) // what is left running ends
	for range 20 {
		if primary, _ := w.Cluster.Primary(); primary != "" {
			break
		}
		time.Sleep(time.Second)
	}
	found := a.violations(w)
	for _, v := range found[:min(len(found), 5)] {
		t.Error(v)
	}
	if len(found) > 0 {
		t.Errorf("%d violations in %d statements", len(found), len(a.list))
	}
}
