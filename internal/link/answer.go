package link

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// Metrics counts answers that can't be matched to a command with certainty.
var Metrics = metrics.NewSet()

var (
	repeatedAnswers  = Metrics.NewCounter("chervilladder_upstream_repeated_answers_total")
	ambiguousAnswers = Metrics.NewCounter("chervilladder_upstream_ambiguous_answers_total")
	unmatchedAnswers = Metrics.NewCounter("chervilladder_upstream_unmatched_answers_total")
)

// Send writes commands in one batch.
func (c *Conn) Send(deadline time.Time, commands ...chervilladder.Command) error {
	for _, command := range commands {
		c.filter.Sent(command.Kind)
	}
	return c.link.Send(deadline, commands...)
}

// Receive returns the complete answer to the next command. Its error is an
// *UpstreamLostError.
func (c *Conn) Receive(deadline time.Time) (chervilladder.Result, error) {
	r, err := c.link.Receive(deadline)
	if err != nil {
		return r, err
	}
	j := c.filter.Judge(r, time.Now(), c.wary())
	switch j.Verdict {
	case repeat.Accept:
	case repeat.Skip:
		repeatedAnswers.Inc()
		c.noteRepeat("link: repeated answer", j, r)
	case repeat.Ambiguous:
		ambiguousAnswers.Inc()
	default:
		unmatchedAnswers.Inc()
		c.noteRepeat("link: the answer belongs to no command that is unanswered", j, r)
	}
	return r, nil
}

// Status sends a command that the upstream answers with its status: CommandStatus,
// CommandPause, CommandResume or CommandStepDown.
func (c *Conn) Status(deadline time.Time, command chervilladder.Command) (chervilladder.LinkStatus, error) {
	if err := c.Send(deadline, command); err != nil {
		return chervilladder.LinkStatus{}, err
	}
	r, err := c.Receive(deadline)
	if err != nil {
		return chervilladder.LinkStatus{}, err
	}
	return c.link.DecodeStatus(r)
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
