package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/board"
)

// MaxValueBytes is the maximum size of the value of an object.
const MaxValueBytes = 1 << 20

// Object is one object of the store.
type Object struct {
	Kind    chervilladder.ObjectKind
	Name    chervilladder.ObjectName
	Version chervilladder.Version
	Value   json.RawMessage
	// Removed is set in a watch event if the object was removed.
	Removed bool
}

// MismatchError reports a conditional change whose version differs from the
// object's.
type MismatchError struct {
	// Current is the current object; its version is 0 if it does not exist.
	Current Object
}

// Error names the object and its version.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("object %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// contents is one state of the store. It is immutable once it is shared.
type contents struct {
	// era counts how often the store has come back from a copy.
	era     chervilladder.Era
	version chervilladder.Version
	kinds   map[chervilladder.ObjectKind]map[chervilladder.ObjectName]Object
	// removed holds the objects removed since version historyStart.
	removed      []Object
	historyStart chervilladder.Version
}

// Store holds the objects. Their versions come from one counter, which each change
// increments by one.
type Store struct {
	contents *board.Section[contents]
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{contents: board.NewSection(contents{era: 1})}
}

// Copy is the state of a store at some time.
type Copy struct{ contents contents }

// Copy returns the present state, to be restored later.
func (s *Store) Copy() Copy { return Copy{s.contents.Load()} }

// Restore brings the store back from a copy, in a new era. Versions since then are given
// out again.
func (s *Store) Restore(c Copy) {
	s.contents.Update(func(now *contents) {
		era := now.era + 1
		*now = c.contents
		now.era = era
	})
}

// Era returns the store's era.
func (s *Store) Era() chervilladder.Era { return s.contents.Load().era }

// Get returns an object, and whether there is one.
func (s *Store) Get(kind chervilladder.ObjectKind, name chervilladder.ObjectName) (Object, bool) {
	o, ok := s.contents.Load().kinds[kind][name]
	return o, ok
}

// List returns the objects of a kind that are newer than the given version,
// in the order of their names, with the store's version. The channel is
// closed at the next change of any object.
func (s *Store) List(kind chervilladder.ObjectKind, after chervilladder.Version) (chervilladder.Version, []Object, <-chan struct{}) {
	c, changed := s.contents.Watch()
	objects := []Object{}
	for _, o := range c.kinds[kind] {
		if o.Version > after {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return c.version, objects, changed
}

// Changes returns the changes of a kind after a version, in order, with the store's
// version. It returns false if the history since that version is gone, or if the store
// doesn't have that version. The channel
// is closed at the next change of any object.
func (s *Store) Changes(kind chervilladder.ObjectKind, after chervilladder.Version) (chervilladder.Version, []Object, <-chan struct{}, bool) {
	c, changed := s.contents.Watch()
	if after < c.historyStart || after > c.version {
		return c.version, nil, changed, false
	}
	objects := []Object{}
	for _, o := range c.kinds[kind] {
		if o.Version > after {
			objects = append(objects, o)
		}
	}
	for _, o := range c.removed {
		if o.Kind == kind && o.Version > after {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return c.version, objects, changed, true
}

// DropHistory drops the history of changes: watches from earlier versions must list
// again.
func (s *Store) DropHistory() {
	s.contents.Update(func(c *contents) {
		c.historyStart, c.removed = c.version, nil
	})
}

// Put writes an object whose version is still the given one; 0 means that it
// must not exist. It returns a *MismatchError otherwise.
func (s *Store) Put(kind chervilladder.ObjectKind, name chervilladder.ObjectName, value json.RawMessage, ifVersion chervilladder.Version) (chervilladder.Version, error) {
	return s.change(kind, name, ifVersion, func(c *contents) {
		c.kinds[kind][name] = Object{Kind: kind, Name: name, Version: c.version, Value: value}
	})
}

// Delete removes an object whose version is still the given one. It returns a
// *MismatchError otherwise.
func (s *Store) Delete(kind chervilladder.ObjectKind, name chervilladder.ObjectName, ifVersion chervilladder.Version) (chervilladder.Version, error) {
	return s.change(kind, name, ifVersion, func(c *contents) {
		delete(c.kinds[kind], name)
		c.removed = append(slices.Clone(c.removed), Object{Kind: kind, Name: name, Version: c.version, Removed: true})
	})
}

func (s *Store) change(
	kind chervilladder.ObjectKind,
	name chervilladder.ObjectName,
	ifVersion chervilladder.Version,
	apply func(*contents),
) (chervilladder.Version, error) {
	after, err := s.contents.TryUpdate(func(c *contents) error {
		current, ok := c.kinds[kind][name]
		if !ok {
			current = Object{Kind: kind, Name: name, Value: json.RawMessage("null")}
		}
		if current.Version != ifVersion {
			return &MismatchError{Current: current}
		}
		names := maps.Clone(c.kinds[kind])
		if names == nil {
			names = map[chervilladder.ObjectName]Object{}
		}
		c.version++
		c.kinds = cloneKinds(c.kinds)
		c.kinds[kind] = names
		apply(c)
		return nil
	})
	return after.version, err
}

func cloneKinds(kinds map[chervilladder.ObjectKind]map[chervilladder.ObjectName]Object) map[chervilladder.ObjectKind]map[chervilladder.ObjectName]Object {
	if kinds == nil {
		return map[chervilladder.ObjectKind]map[chervilladder.ObjectName]Object{}
	}
	return maps.Clone(kinds)
}
