package link_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// maxRepeatAfter is how many answers later a repeat arrives at most.
const maxRepeatAfter = 8

// stutterer is a linker to an upstream that answers some commands twice. Its status has
// few values, so that equal ones are frequent.
type stutterer struct {
	t       *rapid.T
	term    chervilladder.Term
	signed  int
	answers []chervilladder.Result
	// repeats are still to be sent, each after so many answers.
	repeats []delayedRepeat
	// terms are the terms of the statuses sent since it was last emptied.
	terms []chervilladder.Term
}

type delayedRepeat struct {
	answer chervilladder.Result
	after  int
}

type stutteringLink struct{ of *stutterer }

func (s *stutterer) Open(context.Context, chervilladder.Registered, chervilladder.AccountID) (chervilladder.Link, error) {
	s.answers, s.repeats = nil, nil
	return stutteringLink{s}, nil
}

func (l stutteringLink) Send(_ time.Time, commands ...chervilladder.Command) error {
	for _, c := range commands {
		l.of.answer(c.Kind)
	}
	return nil
}

// answer answers a command, behind the repeats that are due.
func (s *stutterer) answer(kind chervilladder.CommandKind) {
	s.repeats = slices.DeleteFunc(s.repeats, func(r delayedRepeat) bool {
		if r.after == 0 {
			s.answers = append(s.answers, r.answer)
		}
		return r.after == 0
	})
	for i := range s.repeats {
		s.repeats[i].after--
	}
	if rapid.IntRange(0, 4).Draw(s.t, "changes") == 0 {
		s.term = chervilladder.Term(rapid.IntRange(0, 3).Draw(s.t, "term"))
	}
	r := idleAnswer
	switch {
	case kind.ReturnsStatus():
		r = statusAnswer(fmt.Sprint(s.term))
		s.terms = append(s.terms, s.term)
	case kind == chervilladder.CommandRead:
		s.signed++
		r = signedAnswer(chervilladder.Signature(fmt.Sprint("m1.", s.signed)))
	}
	s.answers = append(s.answers, r)
	if rapid.IntRange(0, 2).Draw(s.t, "repeated") == 0 {
		after := rapid.IntRange(0, maxRepeatAfter).Draw(s.t, "after")
		s.repeats = append(s.repeats, delayedRepeat{r, after})
	}
}

func (l stutteringLink) Receive(time.Time) (chervilladder.Result, error) {
	if len(l.of.answers) == 0 {
		return chervilladder.Result{}, &chervilladder.UpstreamLostError{Upstream: "u", Sent: true}
	}
	r := l.of.answers[0]
	l.of.answers = l.of.answers[1:]
	return r, nil
}

func (l stutteringLink) DecodeStatus(r chervilladder.Result) (chervilladder.LinkStatus, error) {
	var s chervilladder.LinkStatus
	_, err := fmt.Sscan(r.Rows[0], &s.Term)
	return s, err
}

func (l stutteringLink) Close() {}

// Whatever an upstream repeats, a status is one that it had after the request.
func TestStatusIsNeverOlderThanItsRequest(t *testing.T) {
	kinds := []chervilladder.CommandKind{
		chervilladder.CommandRead, chervilladder.CommandSet, chervilladder.CommandReset,
		chervilladder.CommandStatus, chervilladder.CommandStatus, chervilladder.CommandStatus,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &stutterer{t: t}
		board := blackboard.New(chervilladder.VM{ID: "vm"})
		pool := link.NewPools(link.PoolsConfig{Board: board, Linker: s}).For(chervilladder.Registered{ID: "u", Service: "s"})
		for range 60 {
			c, err := pool.Get(context.Background(), "", nil)
			if err != nil {
				t.Fatal(err)
			}
			command := chervilladder.Command{Kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
			if !command.Kind.ReturnsStatus() {
				if err := c.Send(time.Time{}, command); err != nil {
					t.Fatal(err)
				}
				if _, err := c.Receive(time.Time{}); err != nil {
					c.Discard()
					continue
				}
				c.ReleaseAfterPoll()
				continue
			}
			s.terms = nil
			status, err := c.Status(time.Time{}, command)
			var inDoubt *link.AnswerInDoubtError
			switch {
			case errors.As(err, &inDoubt):
				c.Discard()
				continue
			case err != nil:
				t.Fatal(err)
			case !slices.Contains(s.terms, status.Term):
				t.Fatalf("got the status %d, of %v since the request", status.Term, s.terms)
			}
			c.ReleaseAfterPoll()
		}
	})
}

// A status was taken for a new one when those of two earlier requests, and the answer to
// a reset between them, came twice.
func TestRepeatsOfTwoStatusesDoNotConfirmEachOther(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{
		statusAnswer("primary"),
		statusAnswer("primary"), idleAnswer,
		statusAnswer("primary"), idleAnswer, statusAnswer("primary"), // repeats
		statusAnswer("replica"), idleAnswer, statusAnswer("replica"),
	}}
	requireNewerStatus(is, open(t, s))
}

// An idle upstream's status stays the same; asking for it again costs no connection while
// the answer to the reset is new.
func TestConnectionOfAnUnchangedStatusIsReused(t *testing.T) {
	is := is.New(t)
	s := &scripted{answers: []chervilladder.Result{statusAnswer("primary"), statusAnswer("primary"), idleAnswer}}
	c := open(t, s)
	for range 2 {
		_, err := c.Status(time.Time{}, chervilladder.Command{Kind: chervilladder.CommandStatus})
		is.NoErr(err)
	}
	c.ReleaseAfterPoll()
	is.Equal(s.closed, 0)
}
