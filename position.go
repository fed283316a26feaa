package chervilladder

import "fmt"

// Term numbers the primaries of one database group. A group never has two
// primaries in the same term, and terms only rise.
type Term uint64

// Position is an offset in a group's log. Positions of different terms can only
// be compared as Marks.
type Position uint64

// Mark is a point in the history of a group: a position reached in a term.
// The zero Mark is before every write.
type Mark struct {
	Term     Term
	Position Position
}

// Covers reports whether a member that has replayed m has replayed other too.
func (m Mark) Covers(other Mark) bool {
	if m.Term != other.Term {
		return m.Term > other.Term
	}
	return m.Position >= other.Position
}

// Later returns the later of two marks.
func (m Mark) Later(other Mark) Mark {
	if m.Covers(other) {
		return m
	}
	return other
}

// String returns the mark as TERM/POSITION.
func (m Mark) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}

// Claim is the fencing token of a database's owner. The primary issues it and
// closes the connections that are bound to a lower one.
type Claim uint64
