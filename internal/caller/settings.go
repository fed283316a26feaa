package caller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// tracked are the session parameters that the proxy sets again on each
// connection that the session uses, by their names in lower case.
var tracked = map[string]bool{
	"bytea_output": true, "datestyle": true, "extra_float_digits": true,
	"idle_in_transaction_session_timeout": true, "intervalstyle": true,
	"lock_timeout": true, "search_path": true, "statement_timeout": true,
	"timezone": true, "default_transaction_isolation": true, "row_security": true,
}

// proxyOnly are the session parameters that the proxy handles itself and
// doesn't set upstream.
var proxyOnly = map[string]bool{"application_name": true, "client_encoding": true}

// settings holds the session parameters of a caller.
type settings struct {
	// list holds the parameters that the caller has set, ordered by name.
	list []chervilladder.Setting
	// initial holds those of the start-up message, which RESET restores.
	initial []chervilladder.Setting
	// pending is the list that replaces list once the open transaction
	// commits; it is valid while changed is set.
	pending []chervilladder.Setting
	changed bool
	// savepoints are the open savepoints, in order.
	savepoints []savepoint

	applicationName string
}

// savepoint holds the list that was pending when a savepoint was created.
type savepoint struct {
	name    string
	pending []chervilladder.Setting
}

// applyStartup applies a parameter of the start-up message.
func (s *settings) applyStartup(name, value string) error {
	lower := strings.ToLower(name)
	switch {
	case lower == "application_name":
		s.applicationName = value
	case lower == "client_encoding":
		return checkEncoding(value)
	case strings.HasPrefix(lower, protocolOptionPrefix):
	case tracked[lower]:
		s.list = with(s.list, lower, value)
		s.initial = s.list
	default:
		return &proxyError{code: codeUnknownSetting, message: fmt.Sprintf("start-up parameter %q is not supported", name)}
	}
	return nil
}

func checkEncoding(value string) error {
	v := strings.ToLower(strings.Trim(value, "'"))
	if v == "utf8" || v == "utf-8" || v == "unicode" {
		return nil
	}
	return &proxyError{code: codeBadSetting, message: fmt.Sprintf("client_encoding %q is not supported, use UTF8", value)}
}

// check returns an error if a statement sets a parameter that the proxy neither
// tracks nor handles itself.
func (s *settings) check(statement sqltext.Statement) error {
	if statement.Reset && statement.Name == "" || tracked[statement.Name] || proxyOnly[statement.Name] {
		if statement.Name == "client_encoding" && !statement.Reset {
			return checkEncoding(statement.Value)
		}
		return nil
	}
	return &proxyError{
		code:    codeNotSupported,
		message: fmt.Sprintf("session parameter %q is not kept by the proxy", statement.Name),
		hint:    "Use SET LOCAL within a transaction.",
	}
}

// applyBatch records the parameters that a batch has set. Those set within a
// transaction take effect when it commits.
func (s *settings) applyBatch(b *batch, open bool) {
	if !s.changed {
		s.pending = s.list
	}
	for _, statement := range b.statements {
		switch {
		case statement.Kind == sqltext.KindRollback:
			s.pending, s.changed = s.list, false
		case !b.upstreamFailed:
			s.applyStatement(statement)
		}
	}
	if open {
		return
	}
	s.savepoints = nil
	if s.changed && !b.upstreamFailed && !b.rolledBack {
		s.list = s.pending
	}
	s.changed = false
}

// applyStatement applies a statement that has succeeded to the pending list.
func (s *settings) applyStatement(statement sqltext.Statement) {
	switch statement.Kind {
	case sqltext.KindSet:
		s.applySet(statement)
	case sqltext.KindSavepoint:
		s.savepoints = append(s.savepoints, savepoint{statement.Name, s.pending})
	case sqltext.KindRollbackTo:
		if i := s.savepointIndex(statement.Name); i >= 0 {
			s.pending = s.savepoints[i].pending
			s.savepoints = s.savepoints[:i+1]
		}
	case sqltext.KindRelease:
		if i := s.savepointIndex(statement.Name); i >= 0 {
			s.savepoints = s.savepoints[:i]
		}
	}
}

// savepointIndex returns the index of the latest savepoint with a name, or -1.
func (s *settings) savepointIndex(name string) int {
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

func (s *settings) applySet(statement sqltext.Statement) {
	s.changed = true
	switch {
	case statement.Reset && statement.Name == "":
		s.pending = s.initial
	case proxyOnly[statement.Name]:
	case statement.Reset:
		s.pending = withInitial(s.pending, s.initial, statement.Name)
	default:
		s.pending = with(s.pending, statement.Name, statement.Value)
	}
}

// reported lists the parameters that are reported to the caller at start-up.
func (s *settings) reported() []parameter {
	list := []parameter{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", s.applicationName},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	}
	zone := "UTC"
	for _, p := range s.list {
		if p.Name == "timezone" {
			zone = p.Value
		}
	}
	return append(list, parameter{"TimeZone", zone})
}

func byName(a, b chervilladder.Setting) int { return cmp.Compare(a.Name, b.Name) }

// with returns a copy of a list with a parameter set to a value.
func with(list []chervilladder.Setting, name, value string) []chervilladder.Setting {
	next := append(without(list, name), chervilladder.Setting{Name: name, Value: value})
	slices.SortFunc(next, byName)
	return next
}

// withInitial returns a copy of a list with a parameter reset to its value in
// the start-up message, or removed if it has none.
func withInitial(list, initial []chervilladder.Setting, name string) []chervilladder.Setting {
	for _, p := range initial {
		if p.Name == name {
			return with(list, name, p.Value)
		}
	}
	return without(list, name)
}

func without(list []chervilladder.Setting, name string) []chervilladder.Setting {
	next := make([]chervilladder.Setting, 0, len(list)+1)
	for _, p := range list {
		if p.Name != name {
			next = append(next, p)
		}
	}
	return next
}
