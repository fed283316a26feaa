package link_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

// A write that ran was reported as refused when the second answers to a reset and to an
// earlier refused write came before its own.
func TestRepeatedResetDoesNotConfirmARepeatedRefusal(t *testing.T) {
	is := is.New(t)
	busy := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{idleAnswer, busy, busy, idleAnswer, signedAnswer("1"), idleAnswer}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandReset)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandWrite)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandWrite)
	var inDoubt *link.AnswerInDoubtError
	is.True(errors.As(err, &inDoubt))
}

// A write that ran was reported as refused when its SET had been refused and the second
// answer to an earlier SET was taken for that.
func TestRefusalOfASetupCommandIsNotThatOfTheWriteBehindIt(t *testing.T) {
	is := is.New(t)
	busy := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{idleAnswer, idleAnswer, busy, signedAnswer("1")}}
	c := open(t, s)
	for range 2 {
		_, err := ask(t, c, chervilladder.CommandSet)
		is.NoErr(err)
	}
	_, err := ask(t, c, chervilladder.CommandWrite)
	var inDoubt *link.AnswerInDoubtError
	is.True(errors.As(err, &inDoubt))
}

// A transaction's statements ran outside of it when its BEGIN was refused behind two late
// answers to the one before, from an upstream that is known to repeat answers.
func TestRepeatedBeginDoesNotConfirmARefusedBegin(t *testing.T) {
	is := is.New(t)
	opened := chervilladder.Result{Signature: chervilladder.NoSignature, State: chervilladder.StateOpen}
	refused := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{signedAnswer("1"), signedAnswer("1"), opened, opened, opened, refused, idleAnswer}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandRead)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandBegin)
	is.NoErr(err)
	_, err = ask(t, c, chervilladder.CommandBegin)
	is.True(link.MayRepeatSuccess(err))
	is.True(c.ConfirmBegin(time.Time{}) != nil)
}

// The status of a member that leads no longer was taken for a newer one when the answers
// to a status, a reset and a status came twice.
func TestRepeatedResetDoesNotConfirmARepeatedStatus(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{
		statusAnswer("primary"),
		statusAnswer("primary"), idleAnswer, statusAnswer("primary"), // equal by chance
		statusAnswer("primary"), idleAnswer, statusAnswer("primary"), // repeats
		statusAnswer("replica"), idleAnswer, statusAnswer("replica"),
	}}
	requireNewerStatus(is, open(t, s))
}

// requireNewerStatus requests a status three times: the member still leads at the first two
// requests, and no longer at the third.
func requireNewerStatus(is *is.I, c *link.Conn) {
	is.Helper()
	command := chervilladder.Command{Kind: chervilladder.CommandStatus}
	for range 2 {
		status, err := c.Status(time.Time{}, command)
		is.NoErr(err)
		is.True(status.Primary)
	}
	status, err := c.Status(time.Time{}, command)
	is.True(err != nil || !status.Primary)
}

// A connection was reused with two answers outstanding, and a later status request got
// the status of an earlier one.
func TestRepeatedResetDoesNotLeaveAStatusOutstanding(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{
		idleAnswer, statusAnswer("primary"),
		statusAnswer("primary"), idleAnswer, // repeats
		statusAnswer("primary"), idleAnswer, statusAnswer("primary, busy"),
		statusAnswer("replica"),
	}}
	c := open(t, s)
	_, err := ask(t, c, chervilladder.CommandReset)
	is.NoErr(err)
	command := chervilladder.Command{Kind: chervilladder.CommandStatus}
	for range 2 {
		_, err = c.Status(time.Time{}, command)
		is.NoErr(err)
	}
	c.ReleaseAfterPoll()
	is.Equal(s.closed, 1)
}

// A STEPDOWN that was refused was reported as carried out when the second answer to an
// earlier status came before the refusal.
func TestRefusedOrderBehindARepeatedStatusIsNotReportedAsCarriedOut(t *testing.T) {
	is := is.New(t)
	busy := chervilladder.Result{Code: chervilladder.CodeBusy, Text: "u"}
	s := &scripted{answers: []chervilladder.Result{
		statusAnswer("primary"),
		statusAnswer("primary"), busy, idleAnswer, statusAnswer("primary"),
	}}
	c := open(t, s)
	_, err := c.Status(time.Time{}, chervilladder.Command{Kind: chervilladder.CommandPause, Term: 4})
	is.NoErr(err)
	_, err = c.Status(time.Time{}, chervilladder.Command{Kind: chervilladder.CommandStepDown, Term: 4})
	is.True(err != nil)
}
