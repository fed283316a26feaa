// Package repeat tells the answers on a connection from repeats of earlier answers. The
// protocol of upstreams answers commands in order and names no command in an answer, so an
// upstream that answers one command twice would shift all later answers.
package repeat

import (
	"time"

	"github.com/chervilladder/chervilladder"
)

// Expected is the form that the answer to a command has if the command succeeds.
type Expected uint8

const (
	// Signed is the answer to a read, a write or a commit. Its signature is unique.
	Signed Expected = iota
	// Begun is the answer to a command that opens a transaction.
	Begun
	// Unsigned is the answer to a rollback or to a command that sets up a connection.
	Unsigned
	// Status is an upstream's status.
	Status
)

// String returns the name of the form in logs.
func (e Expected) String() string {
	switch e {
	case Signed:
		return "signed"
	case Begun:
		return "begun"
	case Status:
		return "status"
	default:
		return "unsigned"
	}
}

// ExpectedOf returns the form of the answer to a command.
func ExpectedOf(kind chervilladder.CommandKind) Expected {
	if kind.ReturnsStatus() {
		return Status
	}
	switch kind {
	case chervilladder.CommandBegin, chervilladder.CommandBeginRead:
		return Begun
	case chervilladder.CommandRead, chervilladder.CommandWrite, chervilladder.CommandExecute, chervilladder.CommandCommit:
		return Signed
	default:
		return Unsigned
	}
}

// fits reports whether an answer that reports success has the expected form.
func (e Expected) fits(r chervilladder.Result) bool {
	signed := r.Signature != "" && r.Signature != chervilladder.NoSignature
	switch e {
	case Signed:
		return signed
	case Begun:
		return !signed && len(r.Rows) == 0 && r.State == chervilladder.StateOpen
	case Status:
		return !signed && len(r.Rows) == 1
	default:
		return !signed && len(r.Rows) == 0
	}
}

// Verdict says what to do with an answer.
type Verdict uint8

const (
	// Accept means that the answer belongs to the oldest unanswered command.
	Accept Verdict = iota
	// Skip means that the answer repeats an earlier one, or belongs to an earlier
	// command in whose place a repeat was accepted. The next answer is read instead.
	Skip
	// Ambiguous means that the answer equals an earlier one letter for letter, which
	// it may repeat.
	Ambiguous
	// Reject means that the answer belongs to no command, as far as is known.
	Reject
)

// Judgement is the verdict on one answer.
type Judgement struct {
	Verdict Verdict
	// Expected is the form of the answer that was due.
	Expected Expected
	// Age is the time since the earlier answer that this one equals; zero if there is
	// none.
	Age time.Duration
}

// Filter judges the answers on one connection. The zero Filter is that of a connection on
// which nothing was sent. It is used by one goroutine at a time.
type Filter struct {
	// due are the forms of the answers to the unanswered commands.
	due []Expected
	// signed and unsigned remember the latest answers. They are kept apart since there
	// are many more of the latter.
	signed   memory
	unsigned memory
	// shifted counts the unsigned answers that were accepted although they equal an
	// earlier one. If one of them was a repeat, an answer of the same kind is still to
	// come.
	shifted int
}

// Sent records that a command was sent.
func (f *Filter) Sent(kind chervilladder.CommandKind) { f.due = append(f.due, ExpectedOf(kind)) }

// Judge judges the next answer. If wary is set, the upstream is known to repeat answers:
// then an answer to BEGIN or a status that equals an earlier one is ambiguous; otherwise
// only an error is.
func (f *Filter) Judge(r chervilladder.Result, now time.Time, wary bool) Judgement {
	if len(f.due) == 0 {
		return Judgement{Verdict: Reject}
	}
	j := Judgement{Expected: f.due[0]}
	a := remember(r, now)
	memory := &f.unsigned
	if r.Code == chervilladder.CodeNone && Signed.fits(r) {
		memory = &f.signed
	}
	earlier, known := memory.find(a)
	if known {
		j.Age = now.Sub(earlier.at)
	}
	j.Verdict = f.verdict(j.Expected, r, earlier.whole == a.whole && known, known, wary)
	if j.Verdict == Accept || j.Verdict == Ambiguous {
		f.due = f.due[1:]
		memory.add(a)
	}
	return j
}

// verdict judges an answer. Known is set if an earlier one had the same signature, and
// equal if one was the same as a whole; without a signature both are the same.
func (f *Filter) verdict(e Expected, r chervilladder.Result, equal, known, wary bool) Verdict {
	switch {
	case r.Code != chervilladder.CodeNone && equal:
		return Ambiguous
	case r.Code != chervilladder.CodeNone:
		return Accept
	case !e.fits(r):
		return f.unfit(r, equal)
	case e == Signed && equal:
		return Skip
	case e == Signed && known:
		return Reject // parts of two answers
	case e == Signed:
		f.shifted = 0 // what was still to come would have come before
		return Accept
	case equal && wary && e != Unsigned:
		return Ambiguous
	case equal:
		f.shifted++
		return Accept
	default:
		return Accept
	}
}

// unfit judges an answer that doesn't have the expected form.
func (f *Filter) unfit(r chervilladder.Result, equal bool) Verdict {
	switch {
	case equal:
		return Skip
	case f.shifted > 0 && !Signed.fits(r):
		f.shifted--
		return Skip
	default:
		return Reject
	}
}
