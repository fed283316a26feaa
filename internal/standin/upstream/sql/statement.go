// Package sql parses the small subset of SQL that the upstream stand-in
// supports. It is independent of tables, connections and the protocol's
// messages.
package sql

// TableName is the name of a table.
type TableName string

// ColumnName is the name of a column.
type ColumnName string

// ColumnID is the primary key column of every table.
const ColumnID ColumnName = "id"

// Statement is one statement. The concrete types are those of this file.
type Statement interface {
	// Class returns the statement's class, such as INSERT.
	Class() Class
}

// Class is a class of statements, such as INSERT.
type Class string

// The classes of statements.
const (
	ClassSelect   Class = "SELECT"
	ClassInsert   Class = "INSERT"
	ClassUpdate   Class = "UPDATE"
	ClassDelete   Class = "DELETE"
	ClassBegin    Class = "BEGIN"
	ClassCommit   Class = "COMMIT"
	ClassRollback Class = "ROLLBACK"
	ClassSave     Class = "SAVEPOINT"
	ClassRelease  Class = "RELEASE"
	ClassSet      Class = "SET"
	ClassReset    Class = "RESET"
	ClassShow     Class = "SHOW"
	ClassDiscard  Class = "DISCARD"
	ClassDealloc  Class = "DEALLOCATE"
)

// Select reads rows.
type Select struct {
	Items []Item
	// From is nil for a SELECT without FROM.
	From      *Source
	Where     Expr
	OrderBy   []Order
	Limit     Expr
	ForUpdate bool
}

// Item is one entry of a select list or of RETURNING.
type Item struct {
	Expr Expr
	// Name is the column's name in the result.
	Name ColumnName
	// Star is set for "*".
	Star bool
}

// Source is the FROM item of a SELECT: a table or a function.
type Source struct {
	Table    TableName
	Function *Call
	Alias    ColumnName
}

// Order is one key of ORDER BY.
type Order struct {
	Expr       Expr
	Descending bool
}

// Insert adds rows.
type Insert struct {
	Table     TableName
	Columns   []ColumnName
	Rows      [][]Expr
	Conflict  Conflict
	Set       []Assignment
	Returning []Item
}

// Conflict is what an INSERT does when the id exists.
type Conflict uint8

// The actions for an id that exists.
const (
	ConflictFails Conflict = iota
	ConflictDoesNothing
	ConflictUpdates
)

// Assignment sets a column to a new value.
type Assignment struct {
	Column ColumnName
	Value  Expr
}

// Update changes rows.
type Update struct {
	Table     TableName
	Set       []Assignment
	Where     Expr
	Returning []Item
}

// Delete removes rows.
type Delete struct {
	Table     TableName
	Where     Expr
	Returning []Item
}

// Begin opens a transaction.
type Begin struct {
	ReadOnly bool
	// Start is set for START TRANSACTION.
	Start bool
}

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls back a transaction, or the changes after a savepoint.
type Rollback struct {
	// Savepoint is empty for the whole transaction.
	Savepoint string
}

// Savepoint sets a savepoint.
type Savepoint struct{ Name string }

// Release removes a savepoint.
type Release struct{ Name string }

// Set changes a setting of the session.
type Set struct {
	Name  string
	Value string
	// Local settings end with the transaction.
	Local bool
	// Default resets the setting.
	Default bool
}

// Reset resets a setting to its default.
type Reset struct {
	// Name is empty for all settings.
	Name string
}

// Show reads a setting.
type Show struct{ Name string }

// Discard is DISCARD. Only DISCARD ALL has an effect.
type Discard struct{ All bool }

// Deallocate removes a prepared statement.
type Deallocate struct {
	// Name is empty for all of them.
	Name string
}

// Class implements Statement.
func (*Select) Class() Class { return ClassSelect }

// Class implements Statement.
func (*Insert) Class() Class { return ClassInsert }

// Class implements Statement.
func (*Update) Class() Class { return ClassUpdate }

// Class implements Statement.
func (*Delete) Class() Class { return ClassDelete }

// Class implements Statement.
func (*Begin) Class() Class { return ClassBegin }

// Class implements Statement.
func (*Commit) Class() Class { return ClassCommit }

// Class implements Statement.
func (*Rollback) Class() Class { return ClassRollback }

// Class implements Statement.
func (*Savepoint) Class() Class { return ClassSave }

// Class implements Statement.
func (*Release) Class() Class { return ClassRelease }

// Class implements Statement.
func (*Set) Class() Class { return ClassSet }

// Class implements Statement.
func (*Reset) Class() Class { return ClassReset }

// Class implements Statement.
func (*Show) Class() Class { return ClassShow }

// Class implements Statement.
func (*Discard) Class() Class { return ClassDiscard }

// Class implements Statement.
func (*Deallocate) Class() Class { return ClassDealloc }
