package sql

import (
	"fmt"
	"strings"
)

// SyntaxError reports a text that isn't valid in the supported subset of SQL.
type SyntaxError struct {
	// Offset is the byte offset at which parsing failed.
	Offset int
	Near   string
}

// Error returns PostgreSQL's message, with the text at the error.
func (e *SyntaxError) Error() string {
	if e.Near == "" {
		return "syntax error at end of input"
	}
	return fmt.Sprintf("syntax error at or near %q", e.Near)
}

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
)

// token is one token of a statement. Its text is in lower case for a word, and
// without the quotes for a quoted name or a string. raw is the text as written.
type token struct {
	kind   tokenKind
	text   string
	offset int
	raw    string
}

// longSymbols are the symbols of two characters. All others have one character.
var longSymbols = []string{"::", "||", "<=", ">=", "<>", "!="}

// lexer splits a text into tokens.
type lexer struct {
	text   string
	offset int
}

// lex returns the tokens of a text, with tokenEnd as the last one.
func lex(text string) ([]token, error) {
	l := &lexer{text: text}
	var tokens []token
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		if t.kind == tokenEnd {
			return tokens, nil
		}
	}
}

func (l *lexer) next() (token, error) {
	if err := l.skipSpace(); err != nil {
		return token{}, err
	}
	if l.offset >= len(l.text) {
		return token{kind: tokenEnd, offset: l.offset}, nil
	}
	c := l.text[l.offset]
	switch {
	case isLetter(c):
		return l.word(), nil
	case isDigit(c), c == '.' && isDigit(l.peek(1)):
		return l.number(), nil
	case c == '\'':
		return l.quoted(tokenString, '\'')
	case c == '"':
		return l.quoted(tokenQuoted, '"')
	case c == '$' && isDigit(l.peek(1)):
		return l.param(), nil
	default:
		return l.symbol()
	}
}

// skipSpace skips white space and comments.
func (l *lexer) skipSpace() error {
	for l.offset < len(l.text) {
		rest := l.text[l.offset:]
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			l.offset++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexByte(rest, '\n')
			if end < 0 {
				end = len(rest)
			}
			l.offset += end
		case strings.HasPrefix(rest, "/*"):
			if err := l.skipComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// skipComment skips a block comment, which may contain others.
func (l *lexer) skipComment() error {
	start, depth := l.offset, 0
	for l.offset < len(l.text) {
		switch rest := l.text[l.offset:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.offset += 2
		default:
			l.offset++
		}
		if depth == 0 {
			return nil
		}
	}
	return &SyntaxError{Offset: start, Near: "/*"}
}

func (l *lexer) word() token {
	start := l.offset
	for l.offset < len(l.text) && isWordByte(l.text[l.offset]) {
		l.offset++
	}
	raw := l.text[start:l.offset]
	return token{kind: tokenWord, text: strings.ToLower(raw), offset: start, raw: raw}
}

func (l *lexer) number() token {
	start := l.offset
	for l.offset < len(l.text) && (isDigit(l.text[l.offset]) || l.text[l.offset] == '.') {
		l.offset++
	}
	raw := l.text[start:l.offset]
	return token{kind: tokenNumber, text: raw, offset: start, raw: raw}
}

func (l *lexer) param() token {
	start := l.offset
	l.offset++
	for l.offset < len(l.text) && isDigit(l.text[l.offset]) {
		l.offset++
	}
	raw := l.text[start:l.offset]
	return token{kind: tokenParam, text: raw[1:], offset: start, raw: raw}
}

// quoted reads a quoted text, in which a doubled quote stands for a quote.
func (l *lexer) quoted(kind tokenKind, quote byte) (token, error) {
	start := l.offset
	var b strings.Builder
	for l.offset++; l.offset < len(l.text); l.offset++ {
		c := l.text[l.offset]
		if c != quote {
			b.WriteByte(c)
			continue
		}
		if l.peek(1) != quote {
			l.offset++
			return token{kind: kind, text: b.String(), offset: start, raw: l.text[start:l.offset]}, nil
		}
		b.WriteByte(quote)
		l.offset++
	}
	return token{}, &SyntaxError{Offset: start, Near: l.text[start:]}
}

func (l *lexer) symbol() (token, error) {
	start := l.offset
	for _, s := range longSymbols {
		if strings.HasPrefix(l.text[start:], s) {
			l.offset += len(s)
			return token{kind: tokenSymbol, text: s, offset: start, raw: s}, nil
		}
	}
	c := l.text[start : start+1]
	if !strings.Contains("(),;=<>+-*/%.", c) {
		return token{}, &SyntaxError{Offset: start, Near: c}
	}
	l.offset++
	return token{kind: tokenSymbol, text: c, offset: start, raw: c}, nil
}

// peek returns the byte n bytes ahead, or 0 after the end.
func (l *lexer) peek(n int) byte {
	if l.offset+n >= len(l.text) {
		return 0
	}
	return l.text[l.offset+n]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordByte(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' }
