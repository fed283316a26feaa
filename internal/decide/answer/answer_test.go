package answer_test

import (
	"testing"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/decide/answer"
)

// Guards against a code that promises that nothing was kept where something may
// have been, for each way in which a command can fail.
func TestPromises(t *testing.T) {
	for code := chervilladder.CodeBusy; code <= chervilladder.CodeOther; code++ {
		next, returned := answer.Autocommit(code)
		if returned.PromisesNothingKept() && !code.NotRun() && !code.PromisesNothingKept() {
			t.Errorf("autocommit, code %d: promised that nothing was kept, though it ran", code)
		}
		if next == answer.Retry && !code.NotRun() {
			t.Errorf("autocommit, code %d: retried, though it may have run", code)
		}
		if returned := answer.Commit(code, true); returned.PromisesNothingKept() && !code.NotRun() && !code.PromisesNothingKept() {
			t.Errorf("commit, code %d: promised that nothing was kept, though it may have been", code)
		}
	}
	if next, returned := answer.AutocommitLost(chervilladder.AccessWrite); next != answer.Return || returned != chervilladder.CodeInDoubt {
		t.Error("a write whose answer was lost must be in doubt and not retried")
	}
	if next, _ := answer.AutocommitLost(chervilladder.AccessRead); next != answer.Retry {
		t.Error("a read whose answer was lost must be retried")
	}
	if answer.CommitLost(true) != chervilladder.CodeInDoubt || answer.CommitLost(false) != chervilladder.CodeAborted {
		t.Error("an unanswered commit must be in doubt if the transaction wrote, else aborted")
	}
	if answer.Commit(chervilladder.CodeNone, true) != chervilladder.CodeNone {
		t.Error("a successful commit must be reported as a success")
	}
	if got := answer.Unsent(&chervilladder.LinkRefusedError{Code: chervilladder.CodeConnectionLimit}); got != chervilladder.CodeConnectionLimit {
		t.Errorf("refused connection: code %d", got)
	}
	if got := answer.Unsent(&chervilladder.LinkRefusedError{Code: chervilladder.CodeFailed}); got != chervilladder.CodeBusy {
		t.Errorf("connection set-up failed before anything was sent: code %d", got)
	}
}
