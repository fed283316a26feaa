package session

import (
	"context"
	"maps"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/link"
)

// session is one caller's session. It implements chervilladder.Session.
type session struct {
	m        *Manager
	db       chervilladder.DatabaseID
	caller   string
	values   map[string]string
	prepared map[string]link.Prepared
	floor    floor
	tx       openTransaction
	// hosted is set at the VM that a session's work was passed to, and
	// pinned is the route by which the session's own VM serves it.
	hosted bool
	pinned *chervilladder.Route
	// answered is the upstream that answered last.
	answered chervilladder.UpstreamID
}

// openTransaction is a session's open transaction, wherever it runs.
type openTransaction interface {
	// do runs a command within it, and ends it if the command does.
	do(ctx context.Context, w *work) chervilladder.Result
	state() chervilladder.TransactionState
	// abandon rolls it back for a caller that is gone.
	abandon()
}

// route returns the session's route as it is in force now.
func (s *session) route() (chervilladder.Route, error) {
	if s.pinned != nil {
		return *s.pinned, nil
	}
	return s.m.route(s.db)
}

// floor is the latest mark that the session has seen, and when.
type floor struct {
	mark chervilladder.Mark
	at   time.Time
}

// observe raises the session's floor to a mark that it was shown.
func (s *session) observe(m chervilladder.Mark, now time.Time) {
	if m != s.floor.mark && m.Covers(s.floor.mark) {
		s.floor = floor{mark: m, at: now}
	}
}

// Do runs a command.
func (s *session) Do(ctx context.Context, c chervilladder.Command) chervilladder.Result {
	w := &work{
		session: s, command: c,
		arrived: time.Now(), seen: s.m.c.Clock(),
	}
	var r chervilladder.Result
	switch {
	case s.tx != nil:
		r = s.tx.do(ctx, w)
	case c.Kind == chervilladder.CommandBegin || c.Kind == chervilladder.CommandBeginRead:
		r = s.begin(w)
	case c.Kind == chervilladder.CommandCommit || c.Kind == chervilladder.CommandRollback:
		r = failure(chervilladder.CodeMalformed, "no transaction is open")
	case c.Kind == chervilladder.CommandRead || c.Kind == chervilladder.CommandWrite || c.Kind == chervilladder.CommandExecute:
		r = w.lone(ctx)
	default:
		r = s.local(c)
	}
	if s.tx != nil {
		r.State = s.tx.state()
	} else {
		r.State = chervilladder.StateIdle
	}
	s.answered = w.upstream
	w.report(r)
	return r
}

// Close ends the session.
func (s *session) Close() {
	if s.tx != nil {
		s.tx.abandon()
		s.tx = nil
	}
}

// local runs a command that only changes what the session holds.
func (s *session) local(c chervilladder.Command) chervilladder.Result {
	switch c.Kind {
	case chervilladder.CommandSet:
		// Attempts of earlier commands may still read the old values.
		values := maps.Clone(s.values)
		if values == nil {
			values = make(map[string]string)
		}
		values[c.Name] = c.Rest
		s.values = values
	case chervilladder.CommandPrepare:
		if s.prepared == nil {
			s.prepared = make(map[string]link.Prepared)
		}
		s.prepared[c.Name] = link.Prepared{Shape: c.Rest, Access: c.Access}
	case chervilladder.CommandDeallocate:
		if _, ok := s.prepared[c.Name]; !ok {
			return failure(chervilladder.CodeNoStatement, c.Name)
		}
		delete(s.prepared, c.Name)
	default:
		return failure(chervilladder.CodeMalformed, "unknown statement")
	}
	return chervilladder.Result{Signature: chervilladder.NoSignature}
}

// begin opens a transaction. It takes a connection only with its first
// statement.
func (s *session) begin(w *work) chervilladder.Result {
	route, err := s.route()
	if err != nil {
		return failure(chervilladder.CodeNoDatabase, "no route to the database")
	}
	w.route = route
	if w.elsewhere() {
		s.tx = &remoteTransaction{session: s, route: route, begun: w.command}
		return chervilladder.Result{Signature: chervilladder.NoSignature}
	}
	s.tx = &transaction{
		session:  s,
		route:    route,
		seen:     w.seen,
		readOnly: w.command.Kind == chervilladder.CommandBeginRead,
		touched:  w.arrived,
	}
	return chervilladder.Result{Signature: chervilladder.NoSignature}
}

// resolve returns how a statement runs and what it needs prepared. A prepared
// statement travels under the name that all sessions share.
func (s *session) resolve(c chervilladder.Command) (chervilladder.Command, chervilladder.Access, *link.Prepared, bool) {
	switch c.Kind {
	case chervilladder.CommandWrite:
		return c, chervilladder.AccessWrite, nil, true
	case chervilladder.CommandExecute:
		p, ok := s.prepared[c.Name]
		c.Name = p.Name()
		return c, p.Access, &p, ok
	default:
		return c, chervilladder.AccessRead, nil, true
	}
}

func failure(code chervilladder.Code, text string) chervilladder.Result {
	return chervilladder.Result{Code: code, Text: text}
}
