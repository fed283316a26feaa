package publish

import (
	"fmt"
	"strings"

	"github.com/chervilladder/chervilladder"
)

// ConflictError reports a change that wasn't made because the revision in force
// isn't the expected one.
type ConflictError struct {
	// Base is the revision that the change was based on.
	Base chervilladder.Revision
	// Current is the index in force.
	Current Index
	// Services lists the services that changed between Base and Current.
	Services []chervilladder.ServiceID
	// ServicesUnknown is set if Services is empty because Base could not be
	// read from the history.
	ServicesUnknown bool
}

// Error says who published what, and what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing published: revision %d by %s is in force, not revision %d; it changed %s; "+
		"compare with \"chervilladderctl diff\", then publish again",
		e.Current.Revision, e.operator(), e.Base, e.changed())
}

func (e *ConflictError) operator() string {
	if e.Current.Operator == "" {
		return "nobody"
	}
	return e.Current.Operator
}

func (e *ConflictError) changed() string {
	if e.ServicesUnknown {
		return "services that the history no longer shows"
	}
	if len(e.Services) == 0 {
		return "no service"
	}
	names := make([]string, 0, len(e.Services))
	for _, s := range e.Services {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

// OutcomeUnknownError reports a change whose outcome is unknown: it may or may not
// have been made.
type OutcomeUnknownError struct {
	Revision chervilladder.Revision
	Attempt  chervilladder.AttemptID
	Err      error
}

// Error says how to find out whether the change was made.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether revision %d was published: %v; "+
		"look for attempt %s with \"chervilladderctl history\" before you publish again",
		e.Revision, e.Err, e.Attempt)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// NoRevisionError reports a revision that the history doesn't contain.
type NoRevisionError struct {
	Revision chervilladder.Revision
}

// Error says how to find a revision that exists.
func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("the history holds no revision %d; choose one that \"chervilladderctl history\" lists", e.Revision)
}
