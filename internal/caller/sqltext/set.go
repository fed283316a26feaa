package sqltext

import "strings"

// searchPath is the only parameter whose value is a list of identifiers.
const searchPath = "search_path"

// classifySet classifies SET and RESET. An incomplete one is a write.
func classifySet(w []token) Statement {
	if len(w) < 2 {
		return Statement{Kind: KindWrite}
	}
	if w[0].word == "reset" {
		return classifyReset(w[1:])
	}
	w = w[1:]
	switch w[0].word {
	case "local", "constraints", "transaction":
		return classifyLocal(w)
	case "session":
		if len(w) > 1 && (w[1].word == "characteristics" || w[1].word == "authorization") {
			return unsupported("SET SESSION " + strings.ToUpper(w[1].word))
		}
		w = w[1:]
	case "role":
		return unsupported("SET ROLE")
	}
	if len(w) == 0 {
		return Statement{Kind: KindWrite} // SET SESSION alone is a syntax error, which the upstream reports
	}
	if isTimeZone(w) {
		return classifyTimeZone(w[2:])
	}
	if len(w) == 2 && w[0].word == "names" {
		return Statement{Kind: KindSet, Name: "client_encoding", Value: w[1].text()}
	}
	values := w[1:]
	if len(values) > 0 && values[0].word == "to" {
		values = values[1:]
	}
	if w[0].word == searchPath {
		return Statement{Kind: KindSet, Name: searchPath, Value: schemasOf(values), Reset: valueOf(values) == "default"}
	}
	value := valueOf(values)
	return Statement{Kind: KindSet, Name: w[0].word, Value: value, Reset: value == "default"}
}

func classifyReset(w []token) Statement {
	name := w[0].word
	switch {
	case name == "all":
		name = ""
	case isTimeZone(w):
		name = "timezone"
	}
	return Statement{Kind: KindSet, Name: name, Reset: true}
}

func isTimeZone(w []token) bool {
	return len(w) >= 2 && w[0].word == "time" && w[1].word == "zone"
}

func classifyTimeZone(values []token) Statement {
	s := Statement{Kind: KindSet, Name: "timezone", Value: valueOf(values)}
	switch {
	case has(values, "interval"):
		return unsupported("SET TIME ZONE INTERVAL")
	case s.Value == "local", s.Value == "default":
		s.Reset = true
	}
	return s
}

// schemasOf returns the value of search_path for a list of schemas. A schema
// that was quoted as an identifier or a literal becomes a quoted identifier.
func schemasOf(w []token) string {
	parts := make([]string, len(w))
	for i, t := range w {
		parts[i] = t.word
		if t.word == "" {
			parts[i] = `"` + strings.ReplaceAll(t.literal, `"`, `""`) + `"`
		}
	}
	return strings.Join(parts, ", ")
}

func valueOf(w []token) string {
	var parts []string
	for _, t := range w {
		parts = append(parts, t.text())
	}
	return strings.Join(parts, ", ")
}
