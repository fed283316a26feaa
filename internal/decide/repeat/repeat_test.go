package repeat_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/repeat"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func signed(n int) chervilladder.Result {
	return chervilladder.Result{Rows: []string{"row"}, Signature: chervilladder.Signature(fmt.Sprint("m1.", n))}
}

func plain(state chervilladder.TransactionState) chervilladder.Result {
	return chervilladder.Result{Signature: chervilladder.NoSignature, State: state}
}

func status(row string) chervilladder.Result {
	return chervilladder.Result{Rows: []string{row}, Signature: chervilladder.NoSignature}
}

func refused(code chervilladder.Code) chervilladder.Result {
	return chervilladder.Result{Code: code, Text: "m1"}
}

// judge returns the verdicts on answers to commands that were sent together.
func judge(kinds []chervilladder.CommandKind, answers ...chervilladder.Result) []repeat.Verdict {
	var f repeat.Filter
	for _, k := range kinds {
		f.Sent(k)
	}
	var list []repeat.Verdict
	for _, a := range answers {
		list = append(list, f.Judge(a, now).Verdict)
	}
	return list
}

func TestVerdicts(t *testing.T) {
	const (
		read, write, commit = chervilladder.CommandRead, chervilladder.CommandWrite, chervilladder.CommandCommit
		begin, set, poll    = chervilladder.CommandBegin, chervilladder.CommandSet, chervilladder.CommandStatus
		idle, open          = chervilladder.StateIdle, chervilladder.StateOpen
		accept, skip        = repeat.Accept, repeat.Skip
		ambiguous, reject   = repeat.Ambiguous, repeat.Reject
	)
	torn := signed(1)
	torn.Rows = []string{"row", "another row"}
	for name, c := range map[string]struct {
		kinds   []chervilladder.CommandKind
		answers []chervilladder.Result
		want    []repeat.Verdict
	}{
		"repeated read":                 {[]chervilladder.CommandKind{read, write}, []chervilladder.Result{signed(1), signed(1), signed(2)}, []repeat.Verdict{accept, skip, accept}},
		"repeated commit before begin":  {[]chervilladder.CommandKind{commit, begin}, []chervilladder.Result{signed(1), signed(1), plain(open)}, []repeat.Verdict{accept, skip, accept}},
		"repeated set before read":      {[]chervilladder.CommandKind{set, read}, []chervilladder.Result{plain(idle), plain(idle), signed(1)}, []repeat.Verdict{accept, skip, accept}},
		"answer displaced by a repeat":  {[]chervilladder.CommandKind{set, set, read}, []chervilladder.Result{plain(idle), plain(idle), {Signature: "-", Mark: chervilladder.Mark{Term: 1, Position: 2}}, signed(1)}, []repeat.Verdict{accept, accept, skip, accept}},
		"repeated status before read":   {[]chervilladder.CommandKind{poll, read}, []chervilladder.Result{status("a"), status("a"), signed(1)}, []repeat.Verdict{accept, skip, accept}},
		"parts of two answers":          {[]chervilladder.CommandKind{read, read}, []chervilladder.Result{signed(1), torn}, []repeat.Verdict{accept, reject}},
		"unsigned answer to a read":     {[]chervilladder.CommandKind{read}, []chervilladder.Result{plain(idle)}, []repeat.Verdict{reject}},
		"begin without a transaction":   {[]chervilladder.CommandKind{begin}, []chervilladder.Result{plain(idle)}, []repeat.Verdict{reject}},
		"answer to nothing":             {nil, []chervilladder.Result{signed(1)}, []repeat.Verdict{reject}},
		"two equal refusals":            {[]chervilladder.CommandKind{write, write}, []chervilladder.Result{refused(chervilladder.CodeBusy), refused(chervilladder.CodeBusy)}, []repeat.Verdict{accept, ambiguous}},
		"two other refusals":            {[]chervilladder.CommandKind{read, write}, []chervilladder.Result{refused(chervilladder.CodeLagging), refused(chervilladder.CodeBusy)}, []repeat.Verdict{accept, accept}},
		"two equal begins":              {[]chervilladder.CommandKind{begin, begin}, []chervilladder.Result{plain(open), plain(open)}, []repeat.Verdict{accept, ambiguous}},
		"two equal statuses":            {[]chervilladder.CommandKind{poll, poll}, []chervilladder.Result{status("a"), status("a")}, []repeat.Verdict{accept, ambiguous}},
		"two equal set-ups":             {[]chervilladder.CommandKind{set, set}, []chervilladder.Result{plain(idle), plain(idle)}, []repeat.Verdict{accept, accept}},
		"two other statuses":            {[]chervilladder.CommandKind{poll, poll}, []chervilladder.Result{status("a"), status("b")}, []repeat.Verdict{accept, accept}},
		"equal begin before its own":    {[]chervilladder.CommandKind{begin, begin, read}, []chervilladder.Result{plain(open), plain(open), plain(open), signed(1)}, []repeat.Verdict{accept, ambiguous, skip, accept}},
		"rollback in a transaction":     {[]chervilladder.CommandKind{chervilladder.CommandRollback}, []chervilladder.Result{plain(open)}, []repeat.Verdict{reject}},
		"read answered out of the past": {[]chervilladder.CommandKind{read, read, read}, []chervilladder.Result{signed(1), signed(2), signed(1), signed(3)}, []repeat.Verdict{accept, accept, skip, accept}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(judge(c.kinds, c.answers...), c.want)
		})
	}
}
