package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// Metrics counts answers that were not passed on, or not relied on.
var Metrics = metrics.NewSet()

var (
	repeatedAnswers  = Metrics.NewCounter("chervilladder_upstream_repeated_answers_total")
	ambiguousAnswers = Metrics.NewCounter("chervilladder_upstream_ambiguous_answers_total")
	unmatchedAnswers = Metrics.NewCounter("chervilladder_upstream_unmatched_answers_total")
)

// AnswerInDoubtError reports an answer that may belong to another command of its
// connection, or that fits none. Whether the command ran is unknown, and the connection
// isn't reused. Two answers that are equal by chance can't be told from a repeat; a
// separator can show which it is: a further command whose answer has another form, so that
// what comes before it belongs to the commands before.
type AnswerInDoubtError struct {
	// Code is the answer's; CodeNone if it reports success.
	Code chervilladder.Code
	// Equal is set if the connection has received an equal answer before, Age ago.
	Equal bool
	Age   time.Duration
}

// Error says what is known of the answer.
func (e *AnswerInDoubtError) Error() string {
	if e.Equal {
		return fmt.Sprintf("the answer may repeat an equal one that the connection received %s earlier", e.Age)
	}
	return "the answer belongs to another command of the connection"
}

// Send writes commands in one batch.
func (c *Conn) Send(deadline time.Time, commands ...chervilladder.Command) error {
	for _, command := range commands {
		c.filter.Sent(command.Kind)
	}
	return c.link.Send(deadline, commands...)
}

// Receive returns the complete answer to the next command. Its error is an
// *UpstreamLostError or an *AnswerInDoubtError; with the latter it returns the answer
// too, and the connection won't be reused.
func (c *Conn) Receive(deadline time.Time) (chervilladder.Result, error) {
	r, err := c.receive(deadline)
	var inDoubt *AnswerInDoubtError
	if !errors.As(err, &inDoubt) || inDoubt.Code == chervilladder.CodeNone || inDoubt.Equal {
		return r, err
	}
	// An error that may be that of an earlier command. If it is, the answer to this
	// command comes before that to a reset.
	if r.State == chervilladder.StateIdle && !c.filter.Unanswered() && c.reset(deadline) {
		return r, nil
	}
	return r, err
}

func (c *Conn) receive(deadline time.Time) (chervilladder.Result, error) {
	r, _, err := c.receiveJudged(deadline)
	return r, err
}

// receiveJudged is like receive, and also returns the judgement on the answer.
func (c *Conn) receiveJudged(deadline time.Time) (chervilladder.Result, repeat.Judgement, error) {
	for {
		r, err := c.link.Receive(deadline)
		if err != nil {
			return r, repeat.Judgement{}, err
		}
		j := c.filter.Judge(r, time.Now())
		switch j.Verdict {
		case repeat.Accept:
			return r, j, nil
		case repeat.Skip:
			repeatedAnswers.Inc()
			c.noteRepeat("link: repeated answer passed over", j, r)
		case repeat.Ambiguous:
			ambiguousAnswers.Inc()
			c.inDoubt = true
			return r, j, &AnswerInDoubtError{Code: r.Code, Equal: j.Equal, Age: j.Age}
		default:
			unmatchedAnswers.Inc()
			c.inDoubt = true
			c.noteRepeat("link: the answer belongs to no command that is unanswered", j, r)
			return r, j, &AnswerInDoubtError{Code: r.Code}
		}
	}
}

// reset clears the variables and prepared statements of a connection whose last answer is
// in doubt, and reports whether the next answer was that to the reset. Then the connection
// is no longer in doubt.
func (c *Conn) reset(deadline time.Time) bool {
	if c.Send(deadline, resetCommand) != nil {
		return false
	}
	if _, err := c.receiveReset(deadline); err != nil {
		return false
	}
	c.inDoubt = false
	return true
}

// receiveReset receives the answer to a reset.
func (c *Conn) receiveReset(deadline time.Time) (repeat.Judgement, error) {
	r, j, err := c.receiveJudged(deadline)
	if err != nil || r.Code != chervilladder.CodeNone {
		return j, &AnswerInDoubtError{Code: r.Code}
	}
	c.values, c.prepared, c.unknown = nil, nil, false
	return j, nil
}

var resetCommand = chervilladder.Command{Kind: chervilladder.CommandReset}

// Status sends a command that the upstream answers with its status: CommandStatus,
// CommandPause, CommandResume or CommandStepDown. If the answer equals an earlier one, it
// is confirmed by a reset.
func (c *Conn) Status(deadline time.Time, command chervilladder.Command) (chervilladder.LinkStatus, error) {
	before, settled := c.filter.Received(), c.filter.Settled()
	if err := c.Send(deadline, command); err != nil {
		return chervilladder.LinkStatus{}, err
	}
	r, err := c.Receive(deadline)
	if MayRepeatSuccess(err) {
		r, err = c.confirmStatus(deadline, command, r, before, settled)
	}
	var inDoubt *AnswerInDoubtError
	if errors.As(err, &inDoubt) && inDoubt.Equal && inDoubt.Code != chervilladder.CodeNone {
		err = nil // refused, now or before
	}
	if err != nil {
		return chervilladder.LinkStatus{}, err
	}
	return c.link.DecodeStatus(r)
}

// confirmStatus makes certain of a status that equals an earlier one. before is how many
// answers the connection had received when the command was sent; settled is set if none
// was outstanding then.
//
// If the answer to a reset is new, the status before it is the command's own. Otherwise
// the command is sent again. Its answer counts if too many are equal for all of them to be
// repeats; an answer may be outstanding then, and the connection isn't reused.
func (c *Conn) confirmStatus(
	deadline time.Time, command chervilladder.Command, status chervilladder.Result, before int, settled bool,
) (chervilladder.Result, error) {
	if err := c.Send(deadline, resetCommand); err != nil {
		return chervilladder.Result{}, err
	}
	j, err := c.receiveReset(deadline)
	if err != nil {
		return chervilladder.Result{}, err
	}
	alone := c.filter.Received() == before+2 // those to the command and to the reset
	switch {
	case j.Equal && !alone:
		return chervilladder.Result{}, &AnswerInDoubtError{Equal: true, Age: j.Age}
	case !j.Equal && alone && settled:
		c.filter.Settle()
		c.inDoubt = false
		return status, nil
	}
	if err := c.Send(deadline, command); err != nil {
		return chervilladder.Result{}, err
	}
	status, err = c.receive(deadline)
	c.inDoubt = true
	if MayRepeatSuccess(err) && c.filter.AnsweredSince(status, before) {
		err = nil
	}
	return status, err
}

// ConfirmBegin makes certain that a transaction is open on a connection whose answer to
// BEGIN is in doubt. The answer to another command shows it, unless that may be a repeat
// too.
func (c *Conn) ConfirmBegin(deadline time.Time) error {
	if c.wary() {
		return &AnswerInDoubtError{}
	}
	c.prepare(&confirmation)
	command := chervilladder.Command{
		Kind: chervilladder.CommandPrepare, Name: confirmation.Name(), Access: confirmation.Access, Rest: confirmation.Shape,
	}
	if err := c.Send(deadline, command); err != nil {
		return err
	}
	r, err := c.receive(deadline)
	if err != nil {
		return err
	}
	if r.Code != chervilladder.CodeNone || r.State != chervilladder.StateOpen || c.wary() {
		return &AnswerInDoubtError{Code: r.Code}
	}
	c.inDoubt = false
	return nil
}

// confirmation is a statement that is prepared, and never run, to see the state of a
// transaction.
var confirmation = Prepared{Shape: "confirmation", Access: chervilladder.AccessRead}

// MayRepeatSuccess reports whether an error is that of an answer that reports success and
// equals an earlier one.
func MayRepeatSuccess(err error) bool {
	var inDoubt *AnswerInDoubtError
	return errors.As(err, &inDoubt) && inDoubt.Equal && inDoubt.Code == chervilladder.CodeNone
}

// wary reports whether the upstream has repeated an answer lately.
func (c *Conn) wary() bool {
	return c.pool == nil || c.pool.repeatsAnswers(time.Now())
}

// noteRepeat records that the upstream repeats answers.
func (c *Conn) noteRepeat(message string, j repeat.Judgement, r chervilladder.Result) {
	if c.pool == nil {
		return
	}
	c.pool.noteRepeat(time.Now())
	if c.pool.log == nil {
		return
	}
	c.pool.log.WithFields(logrus.Fields{
		"upstream": c.pool.upstream.ID, "service": c.pool.upstream.Service, "expected": j.Expected.String(),
		"age-ms": j.Age.Milliseconds(), "code": r.Code, "signature": r.Signature,
	}).Warn(message)
}
