package sqltext

import (
	"regexp"
	"strings"
)

// token is a word or a literal. Words are in lower case. Quoted identifiers and
// literals have no word, so that they match no keyword.
type token struct {
	word    string
	literal string
	// quoted is set on a quoted identifier; its text is in literal.
	quoted bool
	// call is set if an opening parenthesis follows.
	call bool
}

func (t token) text() string {
	if t.word != "" {
		return t.word
	}
	return t.literal
}

// classTag matches the tag in a comment that names a class.
var classTag = regexp.MustCompile(`\bclass=([A-Za-z0-9_-]+)`)

// tokenizer splits a text into statements and tokens.
type tokenizer struct {
	text   string
	offset int
	// callable is set if the last token may be the name of a function.
	callable bool
	// class is the class named by a comment of the current statement.
	class string
}

func (t *tokenizer) done() bool {
	return t.offset >= len(t.text)
}

// statement returns the tokens up to the next semicolon.
func (t *tokenizer) statement() []token {
	t.class, t.callable = "", false
	var words []token
	for !t.done() {
		c := t.text[t.offset]
		switch {
		case c == ';':
			t.offset++
			return words
		case isSpace(c):
			t.offset++
		case strings.HasPrefix(t.text[t.offset:], "--"):
			t.comment(t.lineEnd())
		case strings.HasPrefix(t.text[t.offset:], "/*"):
			t.comment(t.blockEnd())
		case c == '\'':
			words = append(words, token{literal: t.literal(false)})
			t.callable = false
		case c == '"':
			words = append(words, token{literal: t.identifier(), quoted: true})
			t.callable = true
		case c == '$' && t.dollarTag() != "":
			words = append(words, token{literal: t.dollarLiteral()})
			t.callable = false
		case c == '-' && t.numberFollows():
			t.offset++
			words = append(words, token{word: "-" + t.word()[0].word})
			t.callable = false
		case isWord(c):
			words = append(words, t.word()...)
			t.callable = true
		case c == '(':
			t.offset++
			if n := len(words); n > 0 && t.callable {
				words[n-1].call = true
			}
			t.callable = false
		default:
			t.offset++
			t.callable = false
		}
	}
	return words
}

// numberFollows reports whether a digit follows the sign at the current offset.
func (t *tokenizer) numberFollows() bool {
	rest := t.text[t.offset+1:]
	return rest != "" && rest[0] >= '0' && rest[0] <= '9'
}

// word reads a keyword or a name, or a literal with a prefix such as E'...'.
func (t *tokenizer) word() []token {
	start := t.offset
	for !t.done() && (isWord(t.text[t.offset]) || t.text[t.offset] == '$') {
		t.offset++
	}
	w := strings.ToLower(t.text[start:t.offset])
	if (w == "e" || w == "b" || w == "x" || w == "n") && !t.done() && t.text[t.offset] == '\'' {
		return []token{{literal: t.literal(w == "e")}}
	}
	if i := strings.LastIndexByte(w, '.'); i >= 0 && i < len(w)-1 && strings.HasPrefix(w, "pg_catalog.") {
		w = w[i+1:]
	}
	return []token{{word: w}}
}

// literal reads a quoted string. A backslash escapes the next character if
// escaped is set.
func (t *tokenizer) literal(escaped bool) string {
	return t.quotedBy('\'', escaped)
}

func (t *tokenizer) identifier() string {
	return t.quotedBy('"', false)
}

// quotedBy reads text between quotes, in which a doubled quote stands for one.
func (t *tokenizer) quotedBy(quote byte, escaped bool) string {
	t.offset++
	var b strings.Builder
	for !t.done() {
		c := t.text[t.offset]
		t.offset++
		switch {
		case escaped && c == '\\' && !t.done():
			b.WriteByte(t.text[t.offset])
			t.offset++
		case c == quote && !t.done() && t.text[t.offset] == quote:
			b.WriteByte(quote)
			t.offset++
		case c == quote:
			return b.String()
		default:
			b.WriteByte(c)
		}
	}
	return b.String()
}

// dollarTag returns the tag of a dollar-quoted string that starts at the
// current offset, or "".
func (t *tokenizer) dollarTag() string {
	rest := t.text[t.offset+1:]
	end := strings.IndexByte(rest, '$')
	if end < 0 {
		return ""
	}
	for i := range end {
		c := rest[i]
		if !isWord(c) || c == '.' || i == 0 && c >= '0' && c <= '9' {
			return ""
		}
	}
	return t.text[t.offset : t.offset+end+2]
}

func (t *tokenizer) dollarLiteral() string {
	tag := t.dollarTag()
	start := t.offset + len(tag)
	t.offset = t.find(tag, len(tag))
	return strings.TrimSuffix(t.text[min(start, t.offset):t.offset], tag)
}

func (t *tokenizer) comment(end int) {
	if m := classTag.FindStringSubmatch(t.text[t.offset:end]); m != nil {
		t.class = m[1]
	}
	t.offset = end
}

// lineEnd returns the offset after the current line.
func (t *tokenizer) lineEnd() int {
	i := strings.IndexAny(t.text[t.offset:], "\r\n")
	if i < 0 {
		return len(t.text)
	}
	return t.offset + i + 1
}

// blockEnd returns the offset after a block comment. Block comments nest.
func (t *tokenizer) blockEnd() int {
	depth := 0
	for i := t.offset; i < len(t.text); i++ {
		switch {
		case strings.HasPrefix(t.text[i:], "/*"):
			depth++
			i++
		case strings.HasPrefix(t.text[i:], "*/"):
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(t.text)
}

// find returns the offset after the next occurrence of s that is at least skip
// bytes ahead, or the end of the text.
func (t *tokenizer) find(s string, skip int) int {
	from := min(t.offset+skip, len(t.text))
	i := strings.Index(t.text[from:], s)
	if i < 0 {
		return len(t.text)
	}
	return from + i + len(s)
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f'
}

func isWord(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' || c >= 0x80
}
