package servicefile

import (
	"github.com/chervilladder/chervilladder"
)

// MaxBytes bounds the size of a service file, so that it always fits into one
// object of the platform.
const MaxBytes = 256 * 1024

// File is a parsed service file.
type File struct {
	// Name tells where the text came from; faults begin with it.
	Name string
	// Text is the file as it was written, with its comments.
	Text         string
	Service      chervilladder.ServiceID
	DefaultClass chervilladder.ClassID
	Databases    []chervilladder.Database
	Classes      []chervilladder.Class
	Roles        []Role

	places places
}

// Role gives the callers that sign in with a role their class of work.
type Role struct {
	Name  string
	Class chervilladder.ClassID
}

// place is a line and a column of a file, both counted from one.
type place struct {
	line, column int
}

// thing names what a place belongs to, such as an upstream of a given name.
type thing struct {
	kind, name string
}

// The kinds of things whose places are kept for the check over all files.
const (
	kindService  = "service"
	kindDatabase = "database"
	kindUpstream = "upstream"
	kindAddress  = "address"
)

// places keeps where things are named. A file without places, one that was not
// parsed from text, has its faults at line 1.
type places map[thing]place

func (p places) find(kind, name string) place {
	if at, ok := p[thing{kind, name}]; ok {
		return at
	}
	return place{line: 1, column: 1}
}
