// Package jsonc decodes files in JSON with comments. It reports all faults of a
// file at once, each with its position and how to fix it.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FaultError is one fault in a file.
type FaultError struct {
	File   string
	Line   int
	Column int
	// What describes the fault.
	What string
	// Fix says how to fix it.
	Fix string
}

// Error returns the position, the fault and the fix on one line.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", e.File, e.Line, e.Column, e.What, e.Fix)
}

// CheckError holds every fault that a check has found, in the order of their
// positions.
type CheckError struct {
	Faults []*FaultError
}

// Error lists the faults, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds a *FaultError.
func (e *CheckError) Unwrap() []error {
	errs := make([]error, 0, len(e.Faults))
	for _, f := range e.Faults {
		errs = append(errs, f)
	}
	return errs
}

// NewCheckError returns the faults as an error, or nil if there are none.
func NewCheckError(faults []*FaultError) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b *FaultError) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
	return &CheckError{Faults: faults}
}
