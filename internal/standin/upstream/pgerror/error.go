// Package pgerror holds the errors that the upstream stand-in returns to
// callers, with their SQLSTATE codes.
package pgerror

import "fmt"

// Code is an SQLSTATE code.
type Code string

// The codes that the stand-in uses.
const (
	ProtocolViolation  Code = "08P01"
	FeatureUnsupported Code = "0A000"
	DivisionByZero     Code = "22012"
	InvalidValue       Code = "22P02"
	InvalidBinary      Code = "22P03"
	NotNull            Code = "23502"
	UniqueViolation    Code = "23505"
	ActiveTransaction  Code = "25001"
	ReadOnly           Code = "25006"
	NoTransaction      Code = "25P01"
	FailedTransaction  Code = "25P02"
	InvalidStatement   Code = "26000"
	InvalidSavepoint   Code = "3B001"
	InvalidCursor      Code = "34000"
	Deadlock           Code = "40P01"
	Syntax             Code = "42601"
	UndefinedObject    Code = "42704"
	UndefinedFunction  Code = "42883"
	DuplicateStatement Code = "42P05"
	InvalidParameter   Code = "22023"
	TooManyConnections Code = "53300"
	QueryCanceled      Code = "57014"
	AdminShutdown      Code = "57P01"
	ClaimLost          Code = "CG001"
	TermRefused        Code = "CG002"
	Internal           Code = "XX000"
)

// Error is an error with the fields of the protocol's ErrorResponse.
type Error struct {
	Code    Code
	Message string
	Detail  string
	// Position is the position of the error in the statement, in characters
	// from 1; 0 is none.
	Position int32
	// Fatal errors end the connection.
	Fatal bool
}

// Error returns the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// New returns an error with a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}
