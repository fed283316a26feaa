package caller_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
	"github.com/chervilladder/chervilladder/internal/caller"
)

// rejectOnReadOnly answers like a group that rejects a statement on read-only
// connections because it writes, although its text looks like a read.
func rejectOnReadOnly(w chervilladder.Work, _ chervilladder.Batch) ([]chervilladder.Reply, error) {
	if w.Access == chervilladder.AccessWrite {
		return []chervilladder.Reply{completed("SELECT 1", 'I')}, nil
	}
	return []chervilladder.Reply{
		{Payload: encode(&pgproto3.RowDescription{})},
		{Payload: encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006"})},
		{Payload: encode(&pgproto3.ReadyForQuery{TxStatus: 'I'}), Last: true},
	}, nil
}

func TestMisjudgedReadRunsAsWrite(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{answer: rejectOnReadOnly}
	_, f := signIn(t, serve(t, caller.Config{Executor: x}))
	f.Send(&pgproto3.Query{String: "SELECT upper(note) FROM volatile_view"})
	is.NoErr(f.Flush())
	got := awaitReady(t, f)
	is.Equal(len(got), 1) // nothing of the rejected attempt is sent to the caller
	is.Equal(string(got[0].(*pgproto3.CommandComplete).CommandTag), "SELECT 1")
	is.Equal(len(x.works), 2)
	is.Equal(x.works[0].Access, chervilladder.AccessRead)
	is.Equal(x.works[1].Access, chervilladder.AccessWrite)
	is.Equal(x.works[1].Deadline, x.works[0].Deadline)
	is.True(x.batches[1].Commits)
}

func TestReadOnlyTransactionIsNotRunAsWrite(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{answer: rejectOnReadOnly}
	_, f := signIn(t, serve(t, caller.Config{Executor: x}))
	f.Send(&pgproto3.Query{String: "BEGIN READ ONLY; SELECT 1; COMMIT"})
	is.NoErr(f.Flush())
	got := awaitReady(t, f)
	is.Equal(got[len(got)-1].(*pgproto3.ErrorResponse).Code, "25006")
	is.Equal(len(x.works), 1)
}

// TestPortalOfEarlierBatch checks that a batch counts as committing if it
// executes a portal that an earlier batch has bound to a COMMIT.
func TestPortalOfEarlierBatch(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{answer: func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
		return []chervilladder.Reply{completed("BEGIN", 'T')}, nil
	}}
	_, f := signIn(t, serve(t, caller.Config{Executor: x}))
	f.Send(&pgproto3.Query{String: "BEGIN"})
	f.Send(&pgproto3.Parse{Query: "COMMIT"})
	f.Send(&pgproto3.Bind{DestinationPortal: "p"})
	f.Send(&pgproto3.Sync{})
	f.Send(&pgproto3.Execute{Portal: "p"})
	f.Send(&pgproto3.Sync{})
	is.NoErr(f.Flush())
	for range 3 {
		awaitReady(t, f)
	}
	is.True(!x.batches[0].Commits)
	is.True(x.batches[2].Commits)
	is.True(x.batches[2].Closes)
}

// TestCallerThatReadsNothing checks that work ends after WriteTimeout if the
// caller doesn't read the answer.
func TestCallerThatReadsNothing(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{closed: make(chan struct{}, 1), answer: func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
		row := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1<<20)}})
		list := make([]chervilladder.Reply, 64)
		for i := range list {
			list[i].Payload = row
		}
		return append(list, completed("SELECT 64", 'I')), nil
	}}
	_, f := signIn(t, serve(t, caller.Config{Executor: x, WriteTimeout: 50 * time.Millisecond}))
	f.Send(&pgproto3.Query{String: "SELECT 1"})
	is.NoErr(f.Flush())
	<-x.closed
}

// TestCallerThatStopsWithinMessage checks that a transaction ends after
// IdleTransactionTimeout if the caller sends only the beginning of a message.
func TestCallerThatStopsWithinMessage(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{closed: make(chan struct{}, 1), answer: func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
		return []chervilladder.Reply{completed("BEGIN", 'T')}, nil
	}}
	c, f := signIn(t, serve(t, caller.Config{Executor: x, IdleTransactionTimeout: 50 * time.Millisecond}))
	f.Send(&pgproto3.Query{String: "BEGIN"})
	is.NoErr(f.Flush())
	awaitReady(t, f)
	_, err := c.Write([]byte{'Q', 0, 0})
	is.NoErr(err)
	m, err := f.Receive()
	is.NoErr(err)
	is.Equal(m.(*pgproto3.ErrorResponse).Code, "25P03")
	<-x.closed
}

// TestFlushIsRejectedImmediately checks that a Flush is answered before the
// Sync, as the caller may wait for the answer.
func TestFlushIsRejectedImmediately(t *testing.T) {
	is := is.New(t)
	x := &fakeExecutor{answer: answerAll}
	_, f := signIn(t, serve(t, caller.Config{Executor: x}))
	f.Send(&pgproto3.Parse{Query: "SELECT 1"})
	f.Send(&pgproto3.Flush{})
	is.NoErr(f.Flush())
	m, err := f.Receive()
	is.NoErr(err)
	is.Equal(m.(*pgproto3.ErrorResponse).Code, "0A000")
	f.Send(&pgproto3.Sync{})
	is.NoErr(f.Flush())
	is.Equal(len(awaitReady(t, f)), 0)
	is.Equal(len(x.works), 0)
}

func TestResultsAreRecorded(t *testing.T) {
	is := is.New(t)
	failures := []error{
		nil,
		&chervilladder.NotRunError{Reason: chervilladder.ReasonOverload},
		&chervilladder.NotRunError{Reason: chervilladder.ReasonCancelled},
		&chervilladder.UnknownError{Err: errors.New("lost")},
		errors.New("other"),
	}
	x := &fakeExecutor{}
	x.answer = func(chervilladder.Work, chervilladder.Batch) ([]chervilladder.Reply, error) {
		if err := failures[len(x.batches)-1]; err != nil {
			return nil, err
		}
		return []chervilladder.Reply{completed("SELECT 1", 'I')}, nil
	}
	recorder := &burn.Recorder{}
	_, f := signIn(t, serve(t, caller.Config{Executor: x, Burn: recorder}))
	for range failures {
		f.Send(&pgproto3.Query{String: "SELECT 1"})
		is.NoErr(f.Flush())
		awaitReady(t, f)
	}
	got := recorder.Snapshot("vm-1", newBoard().Catalogue.Load())
	is.Equal(got.Classes[0].Long.Counts, burn.Counts{Good: 1, Refused: 1, Unknown: 1, Failed: 1})
}
