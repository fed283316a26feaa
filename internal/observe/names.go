package observe

import "github.com/chervilladder/chervilladder"

// codeName returns the name of a result code in logs and metrics.
func codeName(c chervilladder.Code) string {
	switch c {
	case chervilladder.CodeNone:
		return "ok"
	case chervilladder.CodeBusy:
		return "busy"
	case chervilladder.CodeAborted:
		return "aborted"
	case chervilladder.CodeLagging:
		return "lagging"
	case chervilladder.CodeReadOnly:
		return "read-only"
	case chervilladder.CodeWrongUpstream:
		return "wrong-upstream"
	case chervilladder.CodeConnectionLimit:
		return "connection-limit"
	case chervilladder.CodeInDoubt:
		return "in-doubt"
	case chervilladder.CodeTimeout:
		return "timeout"
	case chervilladder.CodeFailed:
		return "failed"
	case chervilladder.CodeNoStatement:
		return "no-statement"
	case chervilladder.CodeMalformed:
		return "malformed"
	case chervilladder.CodeNoDatabase:
		return "no-database"
	case chervilladder.CodeDenied:
		return "denied"
	default:
		return "other"
	}
}

// kindName returns the name of a command's kind in logs.
func kindName(k chervilladder.CommandKind) string {
	switch k {
	case chervilladder.CommandBegin:
		return "begin"
	case chervilladder.CommandBeginRead:
		return "begin-read"
	case chervilladder.CommandCommit:
		return "commit"
	case chervilladder.CommandRollback:
		return "rollback"
	case chervilladder.CommandRead:
		return "read"
	case chervilladder.CommandWrite:
		return "write"
	case chervilladder.CommandSet:
		return "set"
	case chervilladder.CommandPrepare:
		return "prepare"
	case chervilladder.CommandExecute:
		return "execute"
	case chervilladder.CommandDeallocate:
		return "deallocate"
	default:
		return "unknown"
	}
}
