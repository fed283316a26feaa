package servicefile

import (
	"github.com/chervilladder/chervilladder"
)

// MaxBytes is the maximum size of a service file, so that it always fits into
// one object of the platform's store.
const MaxBytes = 256 * 1024

// File is a parsed service file.
type File struct {
	// Name is the file's path or another name of its source, for faults.
	Name string
	// Text is the source text, with comments.
	Text         string
	Service      chervilladder.ServiceID
	DefaultClass chervilladder.ClassID
	Databases    []chervilladder.Database
	Classes      []chervilladder.Class
	Roles        []Role

	positions positions
}

// Role maps a database role to the class of work of the callers that sign in with
// it.
type Role struct {
	Name  string
	Class chervilladder.ClassID
}

// position is a line and a column of a file, both counted from one.
type position struct {
	line, column int
}

// nameKey is a name that must be unique, such as that of an upstream, with its
// kind.
type nameKey struct {
	kind, name string
}

// The kinds of names that must be unique across all files.
const (
	kindService  = "service"
	kindDatabase = "database"
	kindUpstream = "upstream"
	kindAddress  = "address"
)

// positions holds where each name occurs. It is empty for a file that wasn't parsed
// from text.
type positions map[nameKey]position

// find returns the position of a name, or line 1, column 1 if it is unknown.
func (p positions) find(kind, name string) position {
	if at, ok := p[nameKey{kind, name}]; ok {
		return at
	}
	return position{line: 1, column: 1}
}
