package wire

import (
	"maps"
	"strings"

	"github.com/chervilladder/chervilladder/internal/standin/upstream/query"
)

// reportedName is the name of a setting whose changes callers are told of, as
// the protocol spells it.
type reportedName string

func (n reportedName) lower() string { return strings.ToLower(string(n)) }

// reported are the settings whose changes callers are told of.
var reported = []reportedName{
	"server_version", "server_encoding", "client_encoding", "application_name", "DateStyle",
	"IntervalStyle", "TimeZone", "integer_datetimes", "standard_conforming_strings",
	"is_superuser", "session_authorization", "default_transaction_read_only", "in_hot_standby",
}

// defaults are the settings that a session has from its start.
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

// settings are a session's settings. Those of a transaction lie above them.
type settings struct {
	// initial are the values at the start of the session.
	initial map[string]string
	session map[string]string
	local   map[string]string
	// saved are the session's values at the begin of the transaction.
	saved map[string]string
	// told are the values that the caller was last told of.
	told map[reportedName]string
}

func newSettings() *settings {
	return &settings{
		initial: maps.Clone(defaults), session: map[string]string{}, local: map[string]string{},
		told: map[reportedName]string{},
	}
}

// start sets a value that came with the start-up message.
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

// reset gives a setting its first value again; an empty name stands for all.
func (s *settings) reset(name string) {
	if name == "" {
		clear(s.session)
		clear(s.local)
		return
	}
	delete(s.session, name)
	delete(s.local, name)
}

// begin remembers the values to which a rollback returns.
func (s *settings) begin() {
	s.saved = maps.Clone(s.session)
}

// finish ends what a transaction has set for itself, and undoes all that it
// has set if it was rolled back.
func (s *settings) finish(committed bool) {
	clear(s.local)
	if !committed && s.saved != nil {
		s.session = s.saved
	}
	s.saved = nil
}

// tell reports whether the caller has yet to be told of a value, and notes that
// it is.
func (s *settings) tell(name reportedName, value string) bool {
	told, ok := s.told[name]
	s.told[name] = value
	return !ok || told != value
}
