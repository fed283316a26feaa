package caller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/caller/sqltext"
)

// tracked are the session parameters that the proxy carries from connection
// to connection, by their names in lower case.
var tracked = map[string]bool{
	"bytea_output": true, "datestyle": true, "extra_float_digits": true,
	"idle_in_transaction_session_timeout": true, "intervalstyle": true,
	"lock_timeout": true, "search_path": true, "statement_timeout": true,
	"timezone": true, "default_transaction_isolation": true, "row_security": true,
}

// kept are those that only the proxy itself needs to know.
var kept = map[string]bool{"application_name": true, "client_encoding": true}

// settings holds the session parameters of a caller.
type settings struct {
	// list is what the caller has set, ordered by name.
	list []chervilladder.Setting
	// initial is what the start-up message set, to which RESET returns.
	initial []chervilladder.Setting
	// pending is the list that a commit of the open transaction puts in
	// force; it is used while changed is set.
	pending []chervilladder.Setting
	changed bool
	// savepoints holds the pending lists at the open savepoints, in order.
	savepoints []savepoint

	applicationName string
}

// savepoint is what was pending when a savepoint was made.
type savepoint struct {
	name    string
	pending []chervilladder.Setting
}

// start takes a parameter of the start-up message.
func (s *settings) start(name, value string) error {
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
		return &protocolError{code: codeUnknownSetting, message: fmt.Sprintf("start-up parameter %q is not supported", name)}
	}
	return nil
}

func checkEncoding(value string) error {
	v := strings.ToLower(strings.Trim(value, "'"))
	if v == "utf8" || v == "utf-8" || v == "unicode" {
		return nil
	}
	return &protocolError{code: codeBadSetting, message: fmt.Sprintf("client_encoding %q is not supported, use UTF8", value)}
}

// check reports whether a statement sets something that the proxy can carry.
func (s *settings) check(x sqltext.Statement) error {
	if x.Reset && x.Name == "" || tracked[x.Name] || kept[x.Name] {
		if x.Name == "client_encoding" && !x.Reset {
			return checkEncoding(x.Value)
		}
		return nil
	}
	return &protocolError{
		code:    codeNotSupported,
		message: fmt.Sprintf("session parameter %q is not kept by the proxy", x.Name),
		hint:    "Use SET LOCAL within a transaction.",
	}
}

// after records what a batch has set. Within a transaction it counts from the
// commit on.
func (s *settings) after(b *batch, open bool) {
	if !s.changed {
		s.pending = s.list
	}
	for _, x := range b.statements {
		switch {
		case x.Kind == sqltext.KindRollback:
			s.pending, s.changed = s.list, false
		case !b.failed:
			s.follow(x)
		}
	}
	if open {
		return
	}
	s.savepoints = nil
	if s.changed && !b.failed && !b.rolledBack {
		s.list = s.pending
	}
	s.changed = false
}

// follow records one statement that has succeeded.
func (s *settings) follow(x sqltext.Statement) {
	switch x.Kind {
	case sqltext.KindSet:
		s.set(x)
	case sqltext.KindSavepoint:
		s.savepoints = append(s.savepoints, savepoint{x.Name, s.pending})
	case sqltext.KindRollbackTo:
		if i := s.savepointIndex(x.Name); i >= 0 {
			s.pending = s.savepoints[i].pending
			s.savepoints = s.savepoints[:i+1]
		}
	case sqltext.KindRelease:
		if i := s.savepointIndex(x.Name); i >= 0 {
			s.savepoints = s.savepoints[:i]
		}
	}
}

// savepointIndex returns the latest savepoint of a name, or -1.
func (s *settings) savepointIndex(name string) int {
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

func (s *settings) set(x sqltext.Statement) {
	s.changed = true
	switch {
	case x.Reset && x.Name == "":
		s.pending = s.initial
	case kept[x.Name]:
	case x.Reset:
		s.pending = withInitial(s.pending, s.initial, x.Name)
	default:
		s.pending = with(s.pending, x.Name, x.Value)
	}
}

// reported lists the parameters that a caller is told of when it signs in.
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
	for _, x := range s.list {
		if x.Name == "timezone" {
			zone = x.Value
		}
	}
	return append(list, parameter{"TimeZone", zone})
}

func byName(a, b chervilladder.Setting) int { return cmp.Compare(a.Name, b.Name) }

// with returns a copy of a list in which a parameter has a value.
func with(list []chervilladder.Setting, name, value string) []chervilladder.Setting {
	next := append(without(list, name), chervilladder.Setting{Name: name, Value: value})
	slices.SortFunc(next, byName)
	return next
}

// withInitial returns a copy of a list in which a parameter has the value that
// the start-up message gave it, if any.
func withInitial(list, initial []chervilladder.Setting, name string) []chervilladder.Setting {
	for _, x := range initial {
		if x.Name == name {
			return with(list, name, x.Value)
		}
	}
	return without(list, name)
}

func without(list []chervilladder.Setting, name string) []chervilladder.Setting {
	next := make([]chervilladder.Setting, 0, len(list)+1)
	for _, x := range list {
		if x.Name != name {
			next = append(next, x)
		}
	}
	return next
}
