// Package sqltext extracts from the text of statements what routing needs:
// their kinds, and the tags in their comments. It tokenizes SQL and doesn't
// parse it.
package sqltext

import "strings"

// Kind classifies a statement for routing.
type Kind uint8

// The kinds. A statement of an unknown kind is a write.
const (
	KindWrite Kind = iota
	KindRead
	KindBegin
	KindBeginRead
	KindCommit
	KindRollback
	// KindSet sets a session parameter.
	KindSet
	// KindLocal acts on the transaction only, such as LOCK or SET LOCAL.
	KindLocal
	// KindSavepoint, KindRollbackTo and KindRelease act on the savepoint
	// called Name.
	KindSavepoint
	KindRollbackTo
	KindRelease
	// KindReadWrite may change the open transaction to read-write.
	KindReadWrite
	// KindDiscard drops all prepared statements or all session state.
	KindDiscard
	// KindUnsupported needs a dedicated connection, which a pool can't provide.
	KindUnsupported
)

// Statement is what Scan extracts from one statement.
type Statement struct {
	Kind Kind
	// Class is the class named by a tag in a comment, if any.
	Class string
	// Name and Value are those of a KindSet. Reset returns the parameter,
	// or all parameters if Name is empty, to the default. Name is also the
	// savepoint's, and for a KindDiscard the statement's first word.
	Name  string
	Value string
	Reset bool
	// Unsupported names the feature that a KindUnsupported uses and that a pool
	// can't support.
	Unsupported string
	// ModifiesRows is set on INSERT, UPDATE, DELETE and MERGE, which modify
	// rows and may run within any transaction.
	ModifiesRows bool
}

// Scan returns the statements of a text, in order. An empty text has none.
func Scan(text string) []Statement {
	var list []Statement
	t := tokenizer{text: text}
	for !t.done() {
		words := t.statement()
		if len(words) == 0 {
			continue
		}
		s := classify(words)
		s.Class = t.class
		list = append(list, s)
	}
	return list
}

func classify(w []token) Statement {
	switch w[0].word {
	case "select", "with", "values", "table":
		return classifyQuery(w)
	case "show", "explain":
		return classifyShow(w)
	case "begin", "start":
		return classifyBegin(w)
	case "insert", "update", "delete", "merge":
		return Statement{Kind: KindWrite, ModifiesRows: true}
	case "commit", "end":
		return Statement{Kind: KindCommit}
	case "rollback", "abort":
		if has(w, "to") {
			return Statement{Kind: KindRollbackTo, Name: w[len(w)-1].text()}
		}
		return Statement{Kind: KindRollback}
	case "savepoint":
		return Statement{Kind: KindSavepoint, Name: w[len(w)-1].text()}
	case "release":
		return Statement{Kind: KindRelease, Name: w[len(w)-1].text()}
	case "lock":
		return Statement{Kind: KindLocal}
	case "set", "reset":
		return classifySet(w)
	case "discard", "deallocate":
		return classifyDiscard(w)
	case "listen", "unlisten", "prepare", "execute", "copy", "load", "declare", "fetch", "move", "close":
		return unsupported(strings.ToUpper(w[0].word))
	case "create":
		if has(w[:min(len(w), 4)], "temp") || has(w[:min(len(w), 4)], "temporary") {
			return unsupported("a temporary table")
		}
	}
	return Statement{Kind: KindWrite}
}

// sessionLockFunctions are the functions for session-level locks, which belong
// to one connection.
var sessionLockFunctions = map[string]bool{
	"pg_advisory_lock":            true,
	"pg_advisory_lock_shared":     true,
	"pg_try_advisory_lock":        true,
	"pg_try_advisory_lock_shared": true,
	"pg_advisory_unlock":          true,
	"pg_advisory_unlock_shared":   true,
	"pg_advisory_unlock_all":      true,
}

// readFunctions are the functions that are known to modify nothing and to work
// alike on a replica, and the keywords that a parenthesis may follow.
var readFunctions = map[string]bool{
	"abs": true, "array_agg": true, "avg": true, "cast": true, "ceil": true,
	"char_length": true, "coalesce": true, "concat": true, "count": true,
	"current_setting": true, "date_part": true, "date_trunc": true,
	"exists": true, "extract": true, "floor": true, "format": true,
	"generate_series": true, "greatest": true, "in": true, "json_agg": true,
	"json_build_object": true, "jsonb_agg": true, "jsonb_build_object": true,
	"least": true, "left": true, "length": true, "lower": true, "max": true,
	"md5": true, "min": true, "now": true, "nullif": true, "octet_length": true,
	"over": true, "pg_is_in_recovery": true, "pg_sleep": true, "position": true,
	"rank": true, "replace": true, "right": true, "round": true,
	"row_number": true, "string_agg": true, "substr": true, "substring": true,
	"sum": true, "to_char": true, "to_date": true, "to_json": true,
	"to_jsonb": true, "to_timestamp": true, "trim": true, "unnest": true,
	"upper": true, "values": true, "version": true, "and": true, "or": true,
	"not": true, "any": true, "all": true, "some": true, "from": true,
	"where": true, "on": true, "by": true, "using": true, "as": true,
	"filter": true, "when": true, "then": true, "else": true, "select": true,
	"with": true, "union": true, "except": true, "intersect": true, "join": true,
}

// setConfigTokens is the number of tokens of a call of set_config, including
// its name.
const setConfigTokens = 4

// classifyQuery classifies a query. It is a read unless it locks rows, modifies
// data, or calls a function that isn't among readFunctions.
func classifyQuery(w []token) Statement {
	s := Statement{Kind: KindRead}
	for i, t := range w {
		switch t.word {
		case "insert", "update", "delete", "merge", "into", "share":
			s.Kind = KindWrite
		}
		if !t.call {
			continue
		}
		if sessionLockFunctions[t.word] {
			return unsupported("the session lock " + t.word)
		}
		if t.word == "set_config" && !has(w[i:min(len(w), i+setConfigTokens)], "true") {
			return unsupported("set_config for the session")
		}
		tableColumns := i > 0 && (w[i-1].word == "as" || w[i-1].word == "with")
		if !readFunctions[t.word] && !tableColumns {
			s.Kind = KindWrite
		}
	}
	return s
}

// classifyShow classifies SHOW as a read, and EXPLAIN as a write since EXPLAIN
// ANALYZE executes its statement.
func classifyShow(w []token) Statement {
	if w[0].word == "show" {
		return Statement{Kind: KindRead}
	}
	return Statement{Kind: KindWrite}
}

func classifyBegin(w []token) Statement {
	if has(w, "only") && !has(w, "write") {
		return Statement{Kind: KindBeginRead}
	}
	return Statement{Kind: KindBegin}
}

// classifyLocal classifies a SET that acts on the transaction. SET TRANSACTION
// READ WRITE is a KindReadWrite, and so is SET LOCAL of a read-only parameter,
// whose value isn't examined.
func classifyLocal(w []token) Statement {
	switch {
	case has(w, "transaction_read_only"), has(w, "default_transaction_read_only"):
		return Statement{Kind: KindReadWrite}
	case w[0].word == "transaction" && has(w, "write"):
		return Statement{Kind: KindReadWrite}
	}
	return Statement{Kind: KindLocal}
}

func classifyDiscard(w []token) Statement {
	if len(w) >= 2 && w[len(w)-1].word == "all" {
		return Statement{Kind: KindDiscard, Name: w[0].word}
	}
	return unsupported(strings.ToUpper(w[0].word))
}

func unsupported(what string) Statement {
	return Statement{Kind: KindUnsupported, Unsupported: what}
}

func has(w []token, word string) bool {
	for _, t := range w {
		if t.word == word {
			return true
		}
	}
	return false
}
