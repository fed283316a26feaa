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

// UnmatchedAnswerError reports an answer that may belong to another command of its
// connection. Whether the command ran is unknown, and the connection isn't reused.
type UnmatchedAnswerError struct {
	// Code is the answer's; CodeNone if it reports success.
	Code chervilladder.Code
	// Equal is set if the connection has received an equal answer before, Age ago.
	Equal bool
	Age   time.Duration
}

// Error says what is known of the answer.
func (e *UnmatchedAnswerError) Error() string {
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
// *UpstreamLostError or an *UnmatchedAnswerError; with the latter it returns the answer
// too, and the connection won't be reused.
func (c *Conn) Receive(deadline time.Time) (chervilladder.Result, error) {
	r, err := c.receive(deadline)
	if equalsEarlier(err) && r.Code != chervilladder.CodeNone && c.mayReset(r) && c.reset(deadline) {
		return r, nil // the error was the command's own
	}
	return r, err
}

func (c *Conn) receive(deadline time.Time) (chervilladder.Result, error) {
	for {
		r, err := c.link.Receive(deadline)
		if err != nil {
			return r, err
		}
		j := c.filter.Judge(r, time.Now())
		switch j.Verdict {
		case repeat.Accept:
			return r, nil
		case repeat.Skip:
			repeatedAnswers.Inc()
			c.noteRepeat("link: repeated answer passed over", j, r)
		case repeat.Ambiguous:
			ambiguousAnswers.Inc()
			c.inDoubt = true
			return r, &UnmatchedAnswerError{Code: r.Code, Equal: true, Age: j.Age}
		default:
			unmatchedAnswers.Inc()
			c.inDoubt = true
			c.noteRepeat("link: the answer belongs to no command that is unanswered", j, r)
			return r, &UnmatchedAnswerError{Code: r.Code}
		}
	}
}

// mayReset reports whether a reset can show that an answer in doubt was the command's own:
// then the reset's answer comes next. An upstream that is known to repeat answers may
// repeat that of an earlier reset.
func (c *Conn) mayReset(r chervilladder.Result) bool {
	return r.State == chervilladder.StateIdle && !c.filter.Unanswered() && !c.wary()
}

// reset clears the variables and prepared statements of a connection whose last answer is
// in doubt, and reports whether the next answer was that to the reset. Then the connection
// is no longer in doubt.
func (c *Conn) reset(deadline time.Time) bool {
	r, err := c.request(deadline, chervilladder.Command{Kind: chervilladder.CommandReset})
	if err != nil || r.Code != chervilladder.CodeNone {
		return false
	}
	c.values, c.prepared, c.unknown, c.inDoubt = nil, nil, false, false
	return true
}

// Status sends a command that the upstream answers with its status: CommandStatus,
// CommandPause, CommandResume or CommandStepDown. If the answer equals an earlier one, the
// status is requested again behind a reset, whose answer separates the two.
func (c *Conn) Status(deadline time.Time, command chervilladder.Command) (chervilladder.LinkStatus, error) {
	r, err := c.request(deadline, command)
	if MayBeRepeat(err) {
		r, err = c.statusAgain(deadline)
	}
	if err != nil && !equalsEarlier(err) {
		return chervilladder.LinkStatus{}, err
	}
	return c.link.DecodeStatus(r)
}

// statusAgain requests the status of a member whose last status is in doubt.
func (c *Conn) statusAgain(deadline time.Time) (chervilladder.Result, error) {
	wary := c.wary()
	reset, status := chervilladder.Command{Kind: chervilladder.CommandReset}, chervilladder.Command{Kind: chervilladder.CommandStatus}
	if err := c.Send(deadline, reset, status); err != nil {
		return chervilladder.Result{}, err
	}
	c.values, c.prepared, c.unknown = nil, nil, false
	if r, err := c.receive(deadline); err != nil {
		return r, err
	}
	r, err := c.receive(deadline)
	if MayBeRepeat(err) {
		err = nil // the answer to the reset came before it
	}
	c.inDoubt = wary || c.wary() || err != nil
	return r, err
}

// BeginAgain opens a transaction on a connection whose answer to BEGIN is in doubt: it
// rolls back, and begins again. The answer to the rollback separates the two.
func (c *Conn) BeginAgain(deadline time.Time, begin chervilladder.Command) error {
	if err := c.Send(deadline, chervilladder.Command{Kind: chervilladder.CommandRollback}, begin); err != nil {
		return err
	}
	r, err := c.receive(deadline)
	if err != nil {
		return err
	}
	if r.Code != chervilladder.CodeNone {
		return &UnmatchedAnswerError{Code: r.Code}
	}
	r, err = c.receive(deadline)
	if err != nil && !MayBeRepeat(err) {
		return err
	}
	if r.Code != chervilladder.CodeNone {
		return &chervilladder.LinkRefusedError{Code: r.Code, Text: r.Text}
	}
	c.inDoubt = c.wary()
	return nil
}

func equalsEarlier(err error) bool {
	var unmatched *UnmatchedAnswerError
	return errors.As(err, &unmatched) && unmatched.Equal
}

// MayBeRepeat reports whether an error is that of an answer that reports success and equals
// an earlier one.
func MayBeRepeat(err error) bool {
	var unmatched *UnmatchedAnswerError
	return errors.As(err, &unmatched) && unmatched.Equal && unmatched.Code == chervilladder.CodeNone
}

func (c *Conn) request(deadline time.Time, command chervilladder.Command) (chervilladder.Result, error) {
	if err := c.Send(deadline, command); err != nil {
		return chervilladder.Result{}, err
	}
	return c.receive(deadline)
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
