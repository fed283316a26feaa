package servicefile

import (
	"fmt"

	"github.com/chervilladder/chervilladder"
)

// Check checks files against each other: no two of them may contain the same
// service, database, upstream or upstream address. Its error is a *CheckError
// with every fault.
func Check(files []File) error {
	return checkError(checkFiles(files))
}

func checkFiles(files []File) []*FaultError {
	c := checker{first: make(map[nameKey]*File)}
	for i := range files {
		c.add(&files[i])
	}
	return c.faults
}

// checker finds names that occur in more than one file.
type checker struct {
	// first is the file in which each name occurs first.
	first  map[nameKey]*File
	faults []*FaultError
}

// add checks the names of a file against those of the files added before.
func (c *checker) add(f *File) {
	c.checkUnique(f, kindService, string(f.Service))
	for _, db := range f.Databases {
		c.checkUnique(f, kindDatabase, string(db.ID))
		for _, u := range db.Upstreams {
			c.checkUnique(f, kindUpstream, string(u.ID))
			c.checkUnique(f, kindAddress, string(u.Address))
		}
	}
}

func (c *checker) checkUnique(f *File, kind, name string) {
	if name == "" {
		return // invalid names are reported by parse
	}
	key := nameKey{kind, name}
	first, ok := c.first[key]
	if !ok {
		c.first[key] = f
		return
	}
	if first == f {
		return // duplicates within a file are reported by parse
	}
	at := f.positions.find(kind, name)
	c.faults = append(c.faults, &FaultError{
		File: f.Name, Line: at.line, Column: at.column,
		What: fmt.Sprintf("%s %q is in %s too", kind, name, first.Name),
		Fix:  "give each its own, or remove one",
	})
}

// Catalogue checks a set of files against each other and returns them as the
// catalogue of a revision, for look-up by id.
func Catalogue(revision chervilladder.Revision, files []File) (*chervilladder.Catalogue, error) {
	if err := Check(files); err != nil {
		return nil, err
	}
	c := &chervilladder.Catalogue{
		Revision:  revision,
		Services:  make(map[chervilladder.ServiceID]*chervilladder.Service, len(files)),
		Databases: make(map[chervilladder.DatabaseID]*chervilladder.Database),
	}
	for i := range files {
		addFile(c, &files[i])
	}
	return c, nil
}

func addFile(c *chervilladder.Catalogue, f *File) {
	s := &chervilladder.Service{
		ID:           f.Service,
		DefaultClass: f.DefaultClass,
		Classes:      make(map[chervilladder.ClassID]*chervilladder.Class, len(f.Classes)),
		RoleClasses:  make(map[string]chervilladder.ClassID, len(f.Roles)),
	}
	for _, class := range f.Classes {
		s.Classes[class.ID] = &class
	}
	for _, role := range f.Roles {
		s.RoleClasses[role.Name] = role.Class
	}
	c.Services[s.ID] = s
	for _, db := range f.Databases {
		c.Databases[db.ID] = &db
	}
}
