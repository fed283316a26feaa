// Package repeat tells the answers on a connection from repeats of earlier answers. The
// protocol of upstreams answers commands in order and names no command in an answer, so an
// upstream that answers one command twice would shift all later answers.
package repeat

import (
	"slices"
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
	// Idle is the answer to a command after which no transaction is open: a rollback, or
	// a reset outside of a transaction.
	Idle
	// Unsigned is the answer to any other command that sets up a connection.
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
	case Idle:
		return "idle"
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
	case chervilladder.CommandRollback, chervilladder.CommandReset:
		return Idle
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
	case Idle:
		return !signed && len(r.Rows) == 0 && r.State == chervilladder.StateIdle
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
	// Ambiguous means that the answer fits, but may be another command's: it equals an
	// earlier one letter for letter, or it is an error that may be the answer to an
	// earlier command.
	Ambiguous
	// Reject means that the answer belongs to no command, as far as is known.
	Reject
)

// Judgement is the verdict on one answer.
type Judgement struct {
	Verdict Verdict
	// Expected is the form of the answer that was due.
	Expected Expected
	// Equal is set if the connection has received an equal answer before, Age ago.
	Equal bool
	Age   time.Duration
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
	// displaced counts the unsigned answers that were taken although they equal an
	// earlier one. If one of them was a repeat, a command's own answer is still to come.
	displaced int
	// received counts the answers that weren't rejected.
	received int
}

// Unanswered reports whether a command is unanswered.
func (f *Filter) Unanswered() bool { return len(f.due) > 0 }

// Sent records that a command was sent.
func (f *Filter) Sent(kind chervilladder.CommandKind) { f.due = append(f.due, ExpectedOf(kind)) }

// Received returns how many answers were received, repeats among them.
func (f *Filter) Received() int { return f.received }

// Settled reports whether no answer can be outstanding to a command in whose place a
// repeat was accepted.
func (f *Filter) Settled() bool { return f.displaced == 0 }

// Settle records that all commands' own answers were received.
func (f *Filter) Settle() { f.displaced = 0 }

// AnsweredSince reports whether one of the answers that equal r was sent to one of the
// latest commands: those sent when received answers had been received. As an upstream
// answers no command more than twice, it was if more of them came since than before.
func (f *Filter) AnsweredSince(r chervilladder.Result, received int) bool {
	before, since := f.unsigned.count(remember(r, time.Time{}).whole, received)
	return since > before
}

// Judge judges the next answer. An answer to a command that sets up a connection is
// accepted even if it equals an earlier one: it says nothing that a caller receives.
func (f *Filter) Judge(r chervilladder.Result, now time.Time) Judgement {
	if len(f.due) == 0 {
		return Judgement{Verdict: Reject}
	}
	j := Judgement{Expected: f.due[0]}
	a := remember(r, now)
	remembered := &f.unsigned
	if r.Code == chervilladder.CodeNone && Signed.fits(r) {
		remembered = &f.signed
	}
	earlier, sameKey := remembered.find(a)
	if sameKey && earlier.whole == a.whole {
		j.Equal, j.Age = true, now.Sub(earlier.at)
	}
	if sameKey && !j.Equal {
		j.Verdict = Reject // it has the signature of an earlier one and other rows
		return j
	}
	j.Verdict = f.verdict(j.Expected, r, j.Equal)
	if j.Verdict == Reject {
		return j
	}
	if j.Verdict != Skip {
		f.due = slices.Delete(f.due, 0, 1) // keeps the slice's memory
	}
	f.received++
	a.number = f.received
	remembered.add(a) // also if skipped: a displaced answer may be repeated too
	return j
}

// verdict judges an answer, which may equal an earlier one.
func (f *Filter) verdict(e Expected, r chervilladder.Result, equal bool) Verdict {
	switch {
	case r.Code != chervilladder.CodeNone && (equal || f.displaced > 0):
		return Ambiguous
	case r.Code != chervilladder.CodeNone:
		return Accept
	case !e.fits(r):
		return f.unfit(r, equal)
	case e == Signed && equal:
		return Skip
	case e == Signed:
		f.displaced = 0 // what was still to come would have come before
		return Accept
	case !equal:
		return Accept
	}
	f.displaced++
	if e == Begun || e == Status {
		return Ambiguous
	}
	return Accept
}

// unfit judges an answer that doesn't have the expected form.
func (f *Filter) unfit(r chervilladder.Result, equal bool) Verdict {
	switch {
	case equal:
		return Skip
	case f.displaced > 0 && !Signed.fits(r):
		f.displaced--
		return Skip
	default:
		return Reject
	}
}
