package publish

import (
	"fmt"
	"strings"

	"github.com/chervilladder/chervilladder"
)

// ConflictError reports a change that was not made because another revision
// than the expected one is in force.
type ConflictError struct {
	// Base is the revision that the change was meant to follow.
	Base chervilladder.Revision
	// Current is what is in force.
	Current Index
	// Services are the services that changed between the two.
	Services []chervilladder.ServiceID
	// Partial is set when the history no longer tells what changed.
	Partial bool
}

// Error says who published what, and what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing published: revision %d by %s is in force, not revision %d; it changed %s; "+
		"compare by \"chervilladderctl diff\", then publish again",
		e.Current.Revision, e.operator(), e.Base, e.changed())
}

func (e *ConflictError) operator() string {
	if e.Current.Operator == "" {
		return "nobody"
	}
	return e.Current.Operator
}

func (e *ConflictError) changed() string {
	if e.Partial {
		return "services that the history no longer tells"
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

// UnknownError reports a change of which it is unknown whether it was made.
type UnknownError struct {
	Revision chervilladder.Revision
	Attempt  chervilladder.AttemptID
	Err      error
}

// Error says how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether revision %d was published: %v; "+
		"look for attempt %s by \"chervilladderctl history\" before you publish again",
		e.Revision, e.Err, e.Attempt)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// NoRevisionError reports a revision that the history doesn't hold.
type NoRevisionError struct {
	Revision chervilladder.Revision
}

// Error says where to look.
func (e *NoRevisionError) Error() string {
	return fmt.Sprintf("the history holds no revision %d; choose one that \"chervilladderctl history\" lists", e.Revision)
}
