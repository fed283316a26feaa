package repeat_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

// sent is an answer on its way, and the number of the command that it answers.
type sent struct {
	result  chervilladder.Result
	command int
	// after is how many commands later a repeat arrives.
	after int
}

// upstream answers commands, some of them twice.
type upstream struct {
	t       *rapid.T
	serial  int
	pending []sent
	// unread are the answers that have arrived.
	unread []sent
}

// answer answers a command, after the repeats that arrive before.
func (u *upstream) answer(kind chervilladder.CommandKind) {
	u.serial++
	var later []sent
	for _, s := range u.pending {
		if s.after--; s.after < 0 {
			u.unread = append(u.unread, s)
			continue
		}
		later = append(later, s)
	}
	u.pending = later
	own := u.result(kind)
	u.unread = append(u.unread, sent{result: own, command: u.serial})
	if rapid.IntRange(0, 3).Draw(u.t, "repeat") == 0 {
		u.pending = append(u.pending, sent{result: own, command: u.serial, after: rapid.IntRange(0, 12).Draw(u.t, "after")})
	}
}

// next returns the next answer to read.
func (u *upstream) next() sent {
	if len(u.unread) == 0 {
		u.t.Fatalf("the answer to command %d was passed over", u.serial)
	}
	s := u.unread[0]
	u.unread = u.unread[1:]
	return s
}

func (u *upstream) result(kind chervilladder.CommandKind) chervilladder.Result {
	mark := chervilladder.Mark{Term: 1, Position: chervilladder.Position(u.serial / 8)}
	r := plain(chervilladder.StateIdle)
	refusable := true
	switch repeat.ExpectedOf(kind) {
	case repeat.Signed:
		r = signed(u.serial)
	case repeat.Begun:
		r = plain(chervilladder.StateOpen)
	case repeat.Status:
		r = status(mark.String())
	default:
		refusable = false
	}
	if refusable && rapid.IntRange(0, 5).Draw(u.t, "refused") == 0 {
		r = refused(rapid.SampledFrom([]chervilladder.Code{chervilladder.CodeBusy, chervilladder.CodeLagging}).Draw(u.t, "code"))
	}
	r.Mark = mark
	return r
}

// Whatever an upstream repeats, an answer that is accepted is the command's own, or equal
// to it. Only set-up commands, which all succeed, may be given each other's.
func TestAcceptedAnswersAreTheCommandsOwn(t *testing.T) {
	kinds := []chervilladder.CommandKind{
		chervilladder.CommandRead, chervilladder.CommandWrite, chervilladder.CommandCommit, chervilladder.CommandBegin,
		chervilladder.CommandSet, chervilladder.CommandReset, chervilladder.CommandStatus,
	}
	rapid.Check(t, func(t *rapid.T) {
		u := &upstream{t: t}
		var f repeat.Filter
		for range 60 {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			form := repeat.ExpectedOf(kind)
			f.Sent(kind)
			u.answer(kind)
			verdict := repeat.Skip
			for verdict == repeat.Skip {
				s := u.next()
				verdict = f.Judge(s.result, now).Verdict
				if verdict == repeat.Accept && s.command != u.serial && form != repeat.Unsigned && form != repeat.Idle {
					t.Fatalf("command %d (kind %d) was given the answer %+v of command %d", u.serial, kind, s.result, s.command)
				}
			}
			if verdict != repeat.Accept {
				f, u.pending, u.unread = repeat.Filter{}, nil, nil // a new connection
			}
		}
	})
}
