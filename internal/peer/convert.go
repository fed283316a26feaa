package peer

import (
	"errors"
	"strings"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/peer/peerpb"
)

func encodeMark(m chervilladder.Mark) *peerpb.Mark {
	return &peerpb.Mark{Term: uint64(m.Term), Position: uint64(m.Position)}
}

func decodeMark(m *peerpb.Mark) chervilladder.Mark {
	return chervilladder.Mark{
		Term:     chervilladder.Term(m.GetTerm()),
		Position: chervilladder.Position(m.GetPosition()),
	}
}

func encodeCandidacy(c chervilladder.Candidacy) *peerpb.AnnounceRequest {
	return &peerpb.AnnounceRequest{
		Service: string(c.Service), Candidate: string(c.Candidate), By: string(c.By), Replaces: uint64(c.Replaces),
		ValidUs: uint64(max(0, c.ValidFor.Microseconds())), TookEffect: c.TookEffect, Process: c.Process, Sequence: c.Sequence,
	}
}

func decodeCandidacy(r *peerpb.AnnounceRequest) chervilladder.Candidacy {
	return chervilladder.Candidacy{
		Service: chervilladder.ServiceID(r.GetService()), Candidate: chervilladder.UpstreamID(r.GetCandidate()), By: chervilladder.VMID(r.GetBy()),
		Replaces: chervilladder.Term(r.GetReplaces()), ValidFor: time.Duration(min(r.GetValidUs(), maxAgeMicros)) * time.Microsecond,
		TookEffect: r.GetTookEffect(), Process: r.GetProcess(), Sequence: r.GetSequence(),
	}
}

func encodeWork(w chervilladder.Work) *peerpb.Work {
	out := &peerpb.Work{
		Database: string(w.Database),
		Service:  string(w.Service),
		Class:    string(w.Class),
		Session:  string(w.Session),
		Caller:   strings.ToValidUTF8(w.Caller, "\uFFFD"),
		Access:   uint32(w.Access),
		Seen:     encodeMark(w.Seen),
		Account:  string(w.Account),
		BudgetUs: uint64(max(0, time.Until(w.Deadline)/time.Microsecond)),
	}
	for _, s := range w.Settings {
		out.Settings = append(out.Settings, &peerpb.Setting{Name: s.Name, Value: s.Value})
	}
	return out
}

func decodeWork(w *peerpb.Work) chervilladder.Work {
	now := time.Now()
	out := chervilladder.Work{
		Database: chervilladder.DatabaseID(w.GetDatabase()),
		Service:  chervilladder.ServiceID(w.GetService()),
		Class:    chervilladder.ClassID(w.GetClass()),
		Session:  chervilladder.SessionID(w.GetSession()),
		Caller:   w.GetCaller(),
		Account:  chervilladder.AccountID(w.GetAccount()),
		Access:   chervilladder.Access(w.GetAccess()),
		Seen:     decodeMark(w.GetSeen()),
		Arrived:  now,
		Deadline: now.Add(time.Duration(w.GetBudgetUs()) * time.Microsecond),
	}
	for _, s := range w.GetSettings() {
		out.Settings = append(out.Settings, chervilladder.Setting{Name: s.GetName(), Value: s.GetValue()})
	}
	return out
}

func encodeBatch(b chervilladder.Batch) *peerpb.Batch {
	out := &peerpb.Batch{Payload: b.Payload, Closes: b.Closes, Commits: b.Commits, Trace: uint32(b.TransactionIDQuery)}
	for _, s := range b.Needs {
		out.Needs = append(out.Needs, &peerpb.Statement{Name: s.Name, Sql: s.SQL, ParameterTypes: s.ParameterTypes})
	}
	return out
}

func decodeBatch(b *peerpb.Batch) chervilladder.Batch {
	out := chervilladder.Batch{
		Payload:            b.GetPayload(),
		Closes:             b.GetCloses(),
		Commits:            b.GetCommits(),
		TransactionIDQuery: chervilladder.TransactionIDQuery(b.GetTrace()),
	}
	for _, s := range b.GetNeeds() {
		out.Needs = append(out.Needs, chervilladder.Statement{
			Name:           s.GetName(),
			SQL:            s.GetSql(),
			ParameterTypes: s.GetParameterTypes(),
		})
	}
	return out
}

func encodeReply(r chervilladder.Reply) *peerpb.RunResponse {
	return &peerpb.RunResponse{Kind: &peerpb.RunResponse_Reply{Reply: &peerpb.Reply{
		Payload:  r.Payload,
		Last:     r.Last,
		Open:     r.Open,
		Seen:     encodeMark(r.Seen),
		Upstream: string(r.Upstream),
	}}}
}

func decodeReply(r *peerpb.Reply) chervilladder.Reply {
	return chervilladder.Reply{
		Payload:  r.GetPayload(),
		Last:     r.GetLast(),
		Open:     r.GetOpen(),
		Seen:     decodeMark(r.GetSeen()),
		Upstream: chervilladder.UpstreamID(r.GetUpstream()),
	}
}

func encodeFailure(err error) *peerpb.RunResponse {
	f := &peerpb.Failure{Kind: peerpb.Failure_KIND_UNKNOWN, Message: err.Error()}
	var notRun *chervilladder.NotRunError
	var unknown *chervilladder.UnknownError
	var done *chervilladder.DoneError
	switch {
	case errors.As(err, &notRun):
		f.Kind = peerpb.Failure_KIND_NOT_RUN
		f.Reason = string(notRun.Reason)
		f.RetryAfterUs = uint64(notRun.RetryAfter / time.Microsecond)
		f.Message = causeText(notRun.Err)
	case errors.As(err, &unknown):
		f.Upstream = string(unknown.Upstream)
		f.Message = causeText(unknown.Err)
	case errors.As(err, &done):
		f.Kind = peerpb.Failure_KIND_DONE
		f.Upstream = string(done.Upstream)
		f.Message = causeText(done.Err)
	}
	return &peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: f}}
}

func causeText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func decodeFailure(db chervilladder.DatabaseID, f *peerpb.Failure) error {
	var cause error
	if f.GetMessage() != "" {
		cause = errors.New(f.GetMessage())
	}
	upstream := chervilladder.UpstreamID(f.GetUpstream())
	switch f.GetKind() {
	case peerpb.Failure_KIND_NOT_RUN:
		return &chervilladder.NotRunError{
			Database:   db,
			Reason:     chervilladder.Reason(f.GetReason()),
			RetryAfter: time.Duration(f.GetRetryAfterUs()) * time.Microsecond,
			Err:        cause,
		}
	case peerpb.Failure_KIND_DONE:
		return &chervilladder.DoneError{Database: db, Upstream: upstream, Err: cause}
	default:
		return &chervilladder.UnknownError{Database: db, Upstream: upstream, Err: cause}
	}
}
