package answer_test

import (
	"testing"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

// A promise is only made where nothing can be kept: for each way in which a
// command ends, what the caller is told.
func TestPromises(t *testing.T) {
	for code := chervilladder.CodeBusy; code <= chervilladder.CodeOther; code++ {
		next, told := answer.Lone(code)
		if told.Promises() && !code.NotRun() && !code.Promises() {
			t.Errorf("lone, code %d: promised though it ran", code)
		}
		if next == answer.Retry && !code.NotRun() {
			t.Errorf("lone, code %d: tried again though it may have run", code)
		}
		if told := answer.Commit(code, true); told.Promises() && !code.NotRun() && !code.Promises() {
			t.Errorf("commit, code %d: promised though it may be kept", code)
		}
	}
	if next, told := answer.LoneLost(chervilladder.AccessWrite); next != answer.Tell || told != chervilladder.CodeInDoubt {
		t.Error("a write whose answer is lost must stay in doubt")
	}
	if next, _ := answer.LoneLost(chervilladder.AccessRead); next != answer.Retry {
		t.Error("a read whose answer is lost may run again")
	}
	if answer.CommitLost(true) != chervilladder.CodeInDoubt || answer.CommitLost(false) != chervilladder.CodeAborted {
		t.Error("only a transaction that wrote nothing keeps nothing either way")
	}
	if answer.Commit(chervilladder.CodeNone, true) != chervilladder.CodeNone {
		t.Error("a commit that succeeded succeeded")
	}
	if got := answer.Unsent(&chervilladder.LinkRefusedError{Code: chervilladder.CodeConnectionLimit}); got != chervilladder.CodeConnectionLimit {
		t.Errorf("a refused connection: code %d", got)
	}
	if got := answer.Unsent(&chervilladder.LinkRefusedError{Code: chervilladder.CodeFailed}); got != chervilladder.CodeBusy {
		t.Errorf("a set-up that failed before anything was sent: code %d", got)
	}
}
