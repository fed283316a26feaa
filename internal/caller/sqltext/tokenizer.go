package sqltext

import (
	"regexp"
	"strings"
)

// token is one word, literal or sign. Words are in lower case; quoted
// identifiers and literals have no word, so that they match no keyword.
type token struct {
	word    string
	literal string
	// quoted is set on a quoted identifier, which literal holds.
	quoted bool
	// call is set on a word that an opening parenthesis follows.
	call bool
}

func (t token) text() string {
	if t.word != "" {
		return t.word
	}
	return t.literal
}

// classTag finds the class that a comment names.
var classTag = regexp.MustCompile(`\bclass=([A-Za-z0-9_-]+)`)

// tokenizer splits a text into statements and tokens.
type tokenizer struct {
	text string
	at   int
	// callable is set while the last token may be the name of a function.
	callable bool
	// class is the class that a comment of the current statement names.
	class string
}

func (t *tokenizer) done() bool {
	return t.at >= len(t.text)
}

// statement returns the tokens up to the next semicolon.
func (t *tokenizer) statement() []token {
	t.class, t.callable = "", false
	var words []token
	for !t.done() {
		c := t.text[t.at]
		switch {
		case c == ';':
			t.at++
			return words
		case isSpace(c):
			t.at++
		case strings.HasPrefix(t.text[t.at:], "--"):
			t.comment(t.lineEnd())
		case strings.HasPrefix(t.text[t.at:], "/*"):
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
			t.at++
			words = append(words, token{word: "-" + t.word()[0].word})
			t.callable = false
		case isWord(c):
			words = append(words, t.word()...)
			t.callable = true
		case c == '(':
			t.at++
			if n := len(words); n > 0 && t.callable {
				words[n-1].call = true
			}
			t.callable = false
		default:
			t.at++
			t.callable = false
		}
	}
	return words
}

// numberFollows reports whether a digit follows the sign that is next.
func (t *tokenizer) numberFollows() bool {
	rest := t.text[t.at+1:]
	return rest != "" && rest[0] >= '0' && rest[0] <= '9'
}

// word reads a keyword or a name. A string with a prefix is a literal.
func (t *tokenizer) word() []token {
	start := t.at
	for !t.done() && (isWord(t.text[t.at]) || t.text[t.at] == '$') {
		t.at++
	}
	w := strings.ToLower(t.text[start:t.at])
	if (w == "e" || w == "b" || w == "x" || w == "n") && !t.done() && t.text[t.at] == '\'' {
		return []token{{literal: t.literal(w == "e")}}
	}
	if i := strings.LastIndexByte(w, '.'); i >= 0 && i < len(w)-1 && strings.HasPrefix(w, "pg_catalog.") {
		w = w[i+1:]
	}
	return []token{{word: w}}
}

// literal reads a quoted string; escaped ones know backslashes.
func (t *tokenizer) literal(escaped bool) string {
	return t.quotedBy('\'', escaped)
}

func (t *tokenizer) identifier() string {
	return t.quotedBy('"', false)
}

// quotedBy reads what a quote begins. A quote within it is doubled.
func (t *tokenizer) quotedBy(quote byte, escaped bool) string {
	t.at++
	var b strings.Builder
	for !t.done() {
		c := t.text[t.at]
		t.at++
		switch {
		case escaped && c == '\\' && !t.done():
			b.WriteByte(t.text[t.at])
			t.at++
		case c == quote && !t.done() && t.text[t.at] == quote:
			b.WriteByte(quote)
			t.at++
		case c == quote:
			return b.String()
		default:
			b.WriteByte(c)
		}
	}
	return b.String()
}

// dollarTag returns the tag that opens a dollar-quoted string here, if any.
func (t *tokenizer) dollarTag() string {
	rest := t.text[t.at+1:]
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
	return t.text[t.at : t.at+end+2]
}

func (t *tokenizer) dollarLiteral() string {
	tag := t.dollarTag()
	start := t.at + len(tag)
	t.at = t.find(tag, len(tag))
	return strings.TrimSuffix(t.text[min(start, t.at):t.at], tag)
}

func (t *tokenizer) comment(end int) {
	if m := classTag.FindStringSubmatch(t.text[t.at:end]); m != nil {
		t.class = m[1]
	}
	t.at = end
}

// lineEnd returns where a comment up to the end of the line ends.
func (t *tokenizer) lineEnd() int {
	i := strings.IndexAny(t.text[t.at:], "\r\n")
	if i < 0 {
		return len(t.text)
	}
	return t.at + i + 1
}

// blockEnd returns where a block comment ends; they nest.
func (t *tokenizer) blockEnd() int {
	depth := 0
	for i := t.at; i < len(t.text); i++ {
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

// find returns the offset behind the next occurrence of s, looking from skip
// bytes on; it is the end of the text if there is none.
func (t *tokenizer) find(s string, skip int) int {
	from := min(t.at+skip, len(t.text))
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
