package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
)

// The SQLSTATEs that the proxy uses. All but codeReadOnly are those of its own
// errors.
const (
	codeProtocol        = "08P01"
	codeUnknownOutcome  = "08007"
	codeDoneAnswerLost  = "08D01"
	codeNotSupported    = "0A000"
	codeUnknownStmt     = "26000"
	codeDuplicateStmt   = "42P05"
	codeUnknownDatabase = "3D000"
	codeUnknownSetting  = "42704"
	codeBadSetting      = "22023"
	codeOverload        = "53400"
	codeLimit           = "54000"
	codeUnavailable     = "57P03"
	codeShutdown        = "57P01"
	codeCancelled       = "57014"
	codeRolledBack      = "40003"
	codeIdle            = "25P03"
	codeNoUser          = "28000"
	// codeReadOnly is the upstream's answer to a write on a read-only
	// connection or on a replica.
	codeReadOnly = "25006"
)

// proxyError is an error that originates in the proxy, for example because of
// an unsupported statement, an unknown database, an idle transaction or a
// shutdown. The work has not run.
type proxyError struct {
	code    string
	message string
	hint    string
}

// Error gives the message.
func (e *proxyError) Error() string { return e.message }

// response returns the ErrorResponse for an error. Its detail states what is
// known about the outcome of the work.
func response(err error) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: codeUnknownOutcome, Message: err.Error()}
	var proxy *proxyError
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	var done *chervilladder.DoneError
	switch {
	case errors.As(err, &proxy):
		r.Code, r.Hint = proxy.code, proxy.hint
		r.Detail = "outcome: not-run"
	case errors.As(err, &notRun):
		r.Code = notRunCode(notRun.Reason)
		r.Detail = "outcome: not-run, reason: " + string(notRun.Reason) + retryAfter(notRun.RetryAfter)
		r.Hint = "The work did not run. It may be sent again."
	case errors.As(err, &done):
		r.Code = codeDoneAnswerLost
		r.Detail = "outcome: done"
		r.Hint = "The work was done, only its answer is lost. Do not send it again."
	case errors.As(err, &unknown):
		r.Detail = "outcome: unknown"
		r.Hint = "The work may have been done. Look before sending it again."
	}
	return r
}

func retryAfter(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf(", retry-after-ms: %d", d.Milliseconds())
}

func notRunCode(r chervilladder.Reason) string {
	switch r {
	case chervilladder.ReasonDeadline, chervilladder.ReasonOverload:
		return codeOverload
	case chervilladder.ReasonUnknownDB:
		return codeUnknownDatabase
	case chervilladder.ReasonCancelled:
		return codeCancelled
	case chervilladder.ReasonRolledBack:
		return codeRolledBack
	default:
		return codeUnavailable
	}
}
