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
	m  *Manager
	db chervilladder.DatabaseID
	// key is the caller's. identity is whose it was in the configuration
	// authenticatedBy; both stay the same while a transaction is open.
	key             chervilladder.Key
	identity        chervilladder.Identity
	authenticatedBy *chervilladder.Routing
	values          map[string]string
	prepared        map[string]link.Prepared
	kept            kept
	minPosition     minPosition
	tx              openTransaction
	// fromPeer is set if the session's work was forwarded to this VM by another
	// one, and pinned is the session's route at the VM that forwarded it.
	fromPeer bool
	pinned   *chervilladder.Route
	// inFlight is set while a command runs or a transaction is open.
	inFlight bool
	// lastUpstream is the member at which the last command was placed; empty if it
	// was placed at none.
	lastUpstream chervilladder.UpstreamID
	// refused is why the last command wasn't run; empty if it was.
	refused chervilladder.Reason
}

// openTransaction is a session's open transaction, here or at another VM.
type openTransaction interface {
	// do runs a command within it. The command may end the transaction.
	do(ctx context.Context, w *work) chervilladder.Result
	state() chervilladder.TransactionState
	// mayContinue reports whether another command can be answered before the VM has
	// shut down.
	mayContinue(kind chervilladder.CommandKind) bool
	// fail rolls it back; the caller has to end it.
	fail()
	// abandon rolls it back for a caller that has disconnected.
	abandon()
}

// route returns the session's route in the current configuration, or for work that
// another VM forwarded the route that came with it.
func (s *session) route() (chervilladder.Route, error) {
	if s.pinned != nil {
		return *s.pinned, nil
	}
	return s.m.route(s.db)
}

// minPosition is the minimum position of a session: what a replica must have replayed
// to serve it, and when the session observed it.
type minPosition struct {
	mark chervilladder.Mark
	at   time.Time
}

// observe raises the session's minimum position to a mark that it has observed.
func (s *session) observe(m chervilladder.Mark, now time.Time) {
	if m != s.minPosition.mark && m.Covers(s.minPosition.mark) {
		s.minPosition = minPosition{mark: m, at: now}
	}
}

// Do runs a command.
func (s *session) Do(ctx context.Context, c chervilladder.Command) chervilladder.Result {
	w := &work{
		session: s, command: c,
		arrived: time.Now(), asOf: s.m.c.Clock(),
	}
	s.enter()
	defer s.leave()
	var r chervilladder.Result
	switch err := c.Validate(); {
	case err != nil:
		r = failure(chervilladder.CodeMalformed, err.Error())
	case s.tx != nil && !s.tx.mayContinue(c.Kind) && c.Kind != chervilladder.CommandRollback:
		r = s.endTransaction(c)
	case s.tx != nil:
		r = s.tx.do(ctx, w)
	case s.refreshIdentity() != nil:
		r = failure(chervilladder.CodeDenied, deniedText)
	case c.Kind == chervilladder.CommandBegin || c.Kind == chervilladder.CommandBeginRead:
		r = s.begin(ctx, w)
	case c.Kind == chervilladder.CommandCommit || c.Kind == chervilladder.CommandRollback:
		r = failure(chervilladder.CodeMalformed, "no transaction is open")
	case c.Kind == chervilladder.CommandRead || c.Kind == chervilladder.CommandWrite || c.Kind == chervilladder.CommandExecute:
		r = w.runStatement(ctx)
	default:
		r = s.runLocal(c)
	}
	if s.tx != nil {
		r.State = s.tx.state()
	} else {
		r.State = chervilladder.StateIdle
	}
	s.lastUpstream, s.refused = w.upstream, w.refused
	w.report(r)
	return r
}

// Close ends the session.
func (s *session) Close() {
	s.dropKept()
	if s.tx != nil {
		s.tx.abandon()
		s.tx = nil
		s.leave()
	}
}

// runLocal runs a command that only changes the session's state.
func (s *session) runLocal(c chervilladder.Command) chervilladder.Result {
	switch c.Kind {
	case chervilladder.CommandSet:
		if refusal, ok := s.replaceKept(s.keptVariable(c.Name), entry{c.Name, c.Rest}); !ok {
			return refusal
		}
		// Attempts of earlier commands may still read the old map.
		values := maps.Clone(s.values)
		if values == nil {
			values = make(map[string]string)
		}
		values[c.Name] = c.Rest
		s.values = values
	case chervilladder.CommandPrepare:
		if refusal, ok := s.replaceKept(s.keptStatement(c.Name), entry{c.Name, c.Rest}); !ok {
			return refusal
		}
		if s.prepared == nil {
			s.prepared = make(map[string]link.Prepared)
		}
		s.prepared[c.Name] = link.Prepared{Shape: c.Rest, Access: c.Access}
	case chervilladder.CommandDeallocate:
		if _, ok := s.prepared[c.Name]; !ok {
			return failure(chervilladder.CodeNoStatement, c.Name)
		}
		s.replaceKept(s.keptStatement(c.Name), entry{})
		delete(s.prepared, c.Name)
	default:
		return failure(chervilladder.CodeMalformed, "unknown statement")
	}
	return chervilladder.Result{Signature: chervilladder.NoSignature}
}

// begin opens a transaction. The first statement takes the connection.
func (s *session) begin(ctx context.Context, w *work) chervilladder.Result {
	route, err := s.route()
	if err != nil {
		return failure(chervilladder.CodeNoDatabase, "no route to the database")
	}
	if err := s.checkTaken(allowance(route, w.command.Kind, chervilladder.AccessRead)); err != nil {
		return w.refusal(err)
	}
	if err := s.admit(ctx); err != nil {
		return w.refusal(err)
	}
	w.route = route
	if w.runsElsewhere() {
		s.tx = &remoteTransaction{session: s, route: route, begin: w.command}
		return chervilladder.Result{Signature: chervilladder.NoSignature}
	}
	s.tx = &transaction{
		session:    s,
		route:      route,
		asOf:       w.asOf,
		readOnly:   w.command.Kind == chervilladder.CommandBeginRead,
		lastActive: w.arrived,
	}
	return chervilladder.Result{Signature: chervilladder.NoSignature}
}

// resolve returns the command to send, its access, and the prepared statement that it
// needs. A prepared statement is sent under the name that all sessions share.
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
