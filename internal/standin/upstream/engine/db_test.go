package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/upstream/engine"
)

// table is the table that the tests use.
const table = "holds"

func newDB(t rapid.TB) *engine.DB {
	t.Helper()
	db, err := engine.New(engine.Config{Primary: func() bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	return db
}

// allow lets every transaction commit, in term 1.
func allow(commit func(chervilladder.Term) error) error { return commit(1) }

// content returns a member's position and rows as text.
func content(db *engine.DB) string {
	s := fmt.Sprint(db.Version().Mark)
	for _, r := range db.Begin(true).Rows(table) {
		data, _ := json.Marshal(r.Fields)
		s += fmt.Sprintf("\n%s %s", r.ID, data)
	}
	return s
}

// A replica that replays the whole log, and one that starts from a snapshot,
// end up with the primary's content.
func TestReplicasMatchThePrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		primary, replica := newDB(t), newDB(t)
		joiner := newDB(t)
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		joinStep := rapid.IntRange(0, steps).Draw(t, "joins")
		for step := range steps {
			txn := primary.Begin(false)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				change(t, txn)
			}
			if rapid.Bool().Draw(t, "rollback") {
				txn.Rollback()
			} else if err := txn.Commit(allow); err != nil {
				t.Fatal(err)
			}
			if step == joinStep {
				joiner.Restore(throughJSON(t, primary.Snapshot()))
			}
		}
		follow(t, primary, replica)
		follow(t, primary, joiner)
		if content(replica) != content(primary) || content(joiner) != content(primary) {
			t.Fatalf("primary:\n%s\nreplica:\n%s\nlate:\n%s", content(primary), content(replica), content(joiner))
		}
	})
}

// change inserts a random row, or updates or deletes it if it exists.
func change(t *rapid.T, txn *engine.Txn) {
	id := engine.RowID(rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "id"))
	value := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value")
	fields := []engine.Field{{Name: "a", Value: &value}, {Name: "b"}}
	row := txn.Row(table, id)
	var err error
	switch {
	case row == nil:
		_, err = txn.Insert(table, id, fields)
	case rapid.Bool().Draw(t, "delete"):
		err = txn.Delete(table, id)
	default:
		_, err = txn.Update(table, row, fields[:1])
	}
	if err != nil {
		t.Fatal(err)
	}
}

func throughJSON(t *rapid.T, s engine.Snapshot) engine.Snapshot {
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var out engine.Snapshot
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func follow(t *rapid.T, from, to *engine.DB) {
	tail := from.Log().After(to.Log().Last(), 1000)
	if tail.Diverged {
		t.Fatal("the logs have diverged")
	}
	for _, e := range tail.Entries {
		if !to.Receive(e) || !to.Replay(e.Position) {
			t.Fatalf("entry %d does not follow the log", e.Position)
		}
	}
}

func TestDivergedLogsAreDetected(t *testing.T) {
	is := is.New(t)
	db := newDB(t)
	for term := chervilladder.Term(1); term <= 2; term++ {
		txn := db.Begin(false)
		_, err := txn.Insert(table, engine.RowID(fmt.Sprint(term)), nil)
		is.NoErr(err)
		is.NoErr(txn.Commit(func(commit func(chervilladder.Term) error) error { return commit(term) }))
	}
	for m, want := range map[chervilladder.Mark]bool{
		{}: true, {Term: 1, Position: 1}: true, {Term: 2, Position: 2}: true,
		{Term: 1, Position: 2}: false, {Term: 2, Position: 1}: false, {Term: 2, Position: 3}: false,
	} {
		is.Equal(!db.Log().After(m, 1).Diverged, want)
	}
}

// TestAbortedWaitLeavesNoLock aborts a transaction that waits for a lock and
// then releases the lock, many times: the aborted transaction must not keep a
// lock that is granted to it while its wait ends.
func TestAbortedWaitLeavesNoLock(t *testing.T) {
	const rounds = 200
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			db := newDB(t)
			holder, waiter, last := db.Begin(false), db.Begin(false), db.Begin(false)
			is.NoErr(holder.Lock(t.Context(), table, "1"))
			failed := make(chan error, 1)
			go func() { failed <- waiter.Lock(t.Context(), table, "1") }()
			synctest.Wait()
			waiter.Rollback()
			holder.Rollback()
			is.True(<-failed != nil)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			is.NoErr(last.Lock(ctx, table, "1"))
		})
	}
}
