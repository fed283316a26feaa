package link_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// scripted is a linker whose links return the given answers, whatever is sent.
type scripted struct {
	answers []chervilladder.Result
	sent    []chervilladder.CommandKind
	closed  int
}

type scriptedLink struct{ of *scripted }

func (s *scripted) Open(context.Context, chervilladder.Registered, chervilladder.AccountID) (chervilladder.Link, error) {
	return scriptedLink{s}, nil
}

func (l scriptedLink) Send(_ time.Time, commands ...chervilladder.Command) error {
	for _, c := range commands {
		l.of.sent = append(l.of.sent, c.Kind)
	}
	return nil
}

func (l scriptedLink) Receive(time.Time) (chervilladder.Result, error) {
	if len(l.of.answers) == 0 {
		return chervilladder.Result{}, &chervilladder.UpstreamLostError{Upstream: "u", Sent: true}
	}
	r := l.of.answers[0]
	l.of.answers = l.of.answers[1:]
	return r, nil
}

func (l scriptedLink) DecodeStatus(r chervilladder.Result) (chervilladder.LinkStatus, error) {
	if r.Code != chervilladder.CodeNone {
		return chervilladder.LinkStatus{}, &chervilladder.LinkRefusedError{Upstream: "u", Code: r.Code}
	}
	return chervilladder.LinkStatus{Primary: r.Rows[0] == "primary"}, nil
}

func (l scriptedLink) Close() { l.of.closed++ }

// idleAnswer is the answer to a reset or a rollback.
var idleAnswer = chervilladder.Result{Signature: chervilladder.NoSignature}

func signedAnswer(s chervilladder.Signature) chervilladder.Result {
	return chervilladder.Result{Rows: []string{"row of " + string(s)}, Signature: s}
}

func statusAnswer(role string) chervilladder.Result {
	return chervilladder.Result{Rows: []string{role}, Signature: chervilladder.NoSignature}
}

// ask sends a command and returns the answer.
func ask(t *testing.T, c *link.Conn, kind chervilladder.CommandKind) (chervilladder.Result, error) {
	t.Helper()
	if err := c.Send(time.Time{}, chervilladder.Command{Kind: kind}); err != nil {
		t.Fatal(err)
	}
	return c.Receive(time.Time{})
}

func open(t *testing.T, s *scripted) *link.Conn {
	t.Helper()
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	all := link.NewPools(link.PoolsConfig{Board: board, Linker: s})
	return get(t, all.For(chervilladder.Registered{ID: "u", Service: "s"}), nil)
}

// A read that came right after another one was given its rows and its signature.
func TestRepeatedAnswerIsNotGivenToTheNextCommand(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{signedAnswer("1"), signedAnswer("1"), signedAnswer("2"), signedAnswer("1"), signedAnswer("3")}}
	c := open(t, s)
	for _, want := range []chervilladder.Signature{"1", "2", "3"} {
		r, err := ask(t, c, chervilladder.CommandRead)
		is.NoErr(err)
		is.Equal(r, signedAnswer(want))
	}
	c.Release()
	is.Equal(s.closed, 0)
}

// A write that ran was reported as refused, by the late second refusal of an earlier one.
func TestEqualRefusalIsNotReliedOn(t *testing.T) {
	is := is.New(t)
	busy := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{busy, busy, signedAnswer("1")}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandWrite)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandWrite)
	var inDoubt *link.AnswerInDoubtError
	is.True(errors.As(err, &inDoubt))
	is.True(inDoubt.Equal)
	c.Release()
	is.Equal(s.closed, 1) // the answer to the second write may be on its way
}

// A refusal that comes behind set-up commands with equal answers may be that of one of
// them; the answer to a reset shows that it isn't.
func TestRefusalBehindEqualAnswersIsReliedOnOnceAResetIsAnswered(t *testing.T) {
	is := is.New(t)
	busy := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{idleAnswer, idleAnswer, busy, idleAnswer}}
	c := open(t, s)
	for range 2 {
		_, err := ask(t, c, chervilladder.CommandSet)
		is.NoErr(err)
	}
	r, err := ask(t, c, chervilladder.CommandWrite)
	is.NoErr(err)
	is.Equal(r, busy)
	c.Release()
	is.Equal(s.closed, 0)
}

// A transaction's statements ran outside of it when its BEGIN was refused and an earlier
// one was answered twice.
func TestBeginInDoubtIsConfirmed(t *testing.T) {
	opened := chervilladder.Result{Signature: chervilladder.NoSignature, State: chervilladder.StateOpen}
	refused := chervilladder.Result{Code: chervilladder.CodeReadOnly, Text: "u"}
	for _, c := range []struct {
		name string
		// answers are those to the PREPARE, after the answer to the second BEGIN if that
		// was taken from the first one.
		answers []chervilladder.Result
		opens   bool
	}{
		{"equal by chance", []chervilladder.Result{opened}, true},
		{"equal by chance and repeated", []chervilladder.Result{opened, opened}, true},
		{"repeat before its own", []chervilladder.Result{opened, opened}, true},
		{"repeat before a refusal", []chervilladder.Result{refused, idleAnswer}, false},
		{"repeat before a refusal that is lost", []chervilladder.Result{idleAnswer}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &scripted{answers: append([]chervilladder.Result{opened, opened}, c.answers...)}
			conn := open(t, s)
			_, err := ask(t, conn, chervilladder.CommandBegin)
			is.NoErr(err)
			_, err = ask(t, conn, chervilladder.CommandBegin)
			is.True(link.MayRepeatSuccess(err))
			is.Equal(conn.ConfirmBegin(time.Time{}) == nil, c.opens)
		})
	}
}

// An answer that fits no unanswered command left the connection off by one.
func TestConnectionWithAnUnmatchedAnswerIsNotReused(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{signedAnswer("1"), {Signature: chervilladder.NoSignature}}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandRead)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandRead)
	var inDoubt *link.AnswerInDoubtError
	is.True(errors.As(err, &inDoubt))
	is.True(!inDoubt.Equal)
	c.Release()
	is.Equal(s.closed, 1)
}

// The second, late status of a member that leads no longer was taken for a newer one.
func TestRepeatedStatusIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{
		signedAnswer("1"), signedAnswer("1"), // shows that the upstream repeats answers
		statusAnswer("primary"), statusAnswer("primary"), statusAnswer("replica"),
		idleAnswer, statusAnswer("replica"),
	}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandRead)
	is.NoErr(err)
	command := chervilladder.Command{Kind: chervilladder.CommandStatus}
	status, err := c.Status(time.Time{}, command)
	is.NoErr(err)
	is.True(status.Primary)
	status, err = c.Status(time.Time{}, command)
	is.NoErr(err)
	is.True(!status.Primary)
	is.Equal(s.sent, []chervilladder.CommandKind{
		chervilladder.CommandRead, chervilladder.CommandStatus, chervilladder.CommandStatus, chervilladder.CommandReset, chervilladder.CommandStatus,
	})
	c.ReleaseAfterPoll()
	is.Equal(s.closed, 1)
}
