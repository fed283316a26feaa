package wire

import (
	"maps"
	"strings"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
)

// reportedName is the name, in the protocol's spelling, of a setting whose
// changes are reported to the caller in ParameterStatus.
type reportedName string

func (n reportedName) lower() string { return strings.ToLower(string(n)) }

// reportedSettings are the settings whose changes are reported to the caller.
var reportedSettings = []reportedName{
	"server_version", "server_encoding", "client_encoding", "application_name", "DateStyle",
	"IntervalStyle", "TimeZone", "integer_datetimes", "standard_conforming_strings",
	"is_superuser", "session_authorization", "default_transaction_read_only", "in_hot_standby",
}

// defaults are the initial settings of a session.
var defaults = map[string]string{
	"server_version":                query.ServerVersion,
	"server_version_num":            "160000",
	"server_encoding":               "UTF8",
	"client_encoding":               "UTF8",
	"application_name":              "",
	"datestyle":                     "ISO, MDY",
	"intervalstyle":                 "postgres",
	"timezone":                      "UTC",
	"integer_datetimes":             "on",
	"standard_conforming_strings":   "on",
	"is_superuser":                  "off",
	"session_authorization":         "",
	"default_transaction_read_only": "off",
	"transaction_read_only":         "off",
	"transaction_isolation":         "read committed",
	"in_hot_standby":                "off",
	"search_path":                   `"$user", public`,
	"statement_timeout":             "0",
	"lock_timeout":                  "0",
	"extra_float_digits":            "1",
	"bytea_output":                  "hex",
	"max_connections":               "100",
}

// settings are a session's settings. Local values take precedence over the
// session's, and these over the initial values.
type settings struct {
	// initial are the defaults and the values of the start-up message.
	initial map[string]string
	session map[string]string
	local   map[string]string
	// saved are the session's values at the beginning of the transaction.
	saved map[string]string
	// lastReported are the values last reported to the caller.
	lastReported map[reportedName]string
}

func newSettings() *settings {
	return &settings{
		initial: maps.Clone(defaults), session: map[string]string{}, local: map[string]string{},
		lastReported: map[reportedName]string{},
	}
}

// start sets an initial value from the start-up message.
func (s *settings) start(name, value string) {
	s.initial[strings.ToLower(name)] = value
}

func (s *settings) get(name string) (string, bool) {
	for _, m := range []map[string]string{s.local, s.session, s.initial} {
		if v, ok := m[name]; ok {
			return v, true
		}
	}
	return "", false
}

func (s *settings) set(name, value string, local bool) {
	if local {
		s.local[name] = value
		return
	}
	delete(s.local, name)
	s.session[name] = value
}

// reset resets a setting to its initial value; an empty name stands for all.
func (s *settings) reset(name string) {
	if name == "" {
		clear(s.session)
		clear(s.local)
		return
	}
	delete(s.session, name)
	delete(s.local, name)
}

// begin saves the values that a rollback restores.
func (s *settings) begin() {
	s.saved = maps.Clone(s.session)
}

// finish drops the transaction's local values and, after a rollback, restores
// the session's values.
func (s *settings) finish(committed bool) {
	clear(s.local)
	if !committed && s.saved != nil {
		s.session = s.saved
	}
	s.saved = nil
}

// needsReport reports whether a value differs from the one last reported to the
// caller, and records it as reported.
func (s *settings) needsReport(name reportedName, value string) bool {
	last, ok := s.lastReported[name]
	s.lastReported[name] = value
	return !ok || last != value
}
