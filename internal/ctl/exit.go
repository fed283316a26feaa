package ctl

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/chervilladder/chervilladder/internal/publish"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

// ExitCode is the exit code of chervilladderctl. Scripts may rely on it.
type ExitCode int

const (
	// ExitDone means that the command has succeeded.
	ExitDone ExitCode = 0
	// ExitFailed stands for all errors that have no code of their own.
	ExitFailed ExitCode = 1
	// ExitUsage means that the operator has to change the command line or a
	// service file.
	ExitUsage ExitCode = 2
	// ExitConflict means that nothing was published because the revision in
	// force isn't the expected one.
	ExitConflict ExitCode = 3
	// ExitOutcomeUnknown means that the revision may or may not have been
	// published.
	ExitOutcomeUnknown ExitCode = 4
)

// UsageError reports an invalid command line.
type UsageError struct {
	What string
	// Fix says how to correct the command line.
	Fix string
}

// Error says what is wrong and how to correct it.
func (e *UsageError) Error() string { return fmt.Sprintf("%s; %s", e.What, e.Fix) }

func exitCode(err error) ExitCode {
	var (
		conflict *publish.ConflictError
		unknown  *publish.OutcomeUnknownError
	)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitOutcomeUnknown
	case isUsage(err):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// isUsage reports whether the operator has to change the command line or a
// service file.
func isUsage(err error) bool {
	var (
		parser   *flags.Error
		usage    *UsageError
		check    *servicefile.CheckError
		path     *servicefile.PathError
		revision *publish.NoRevisionError
		corrupt  *publish.CorruptError
	)
	if errors.As(err, &corrupt) {
		return false
	}
	return errors.As(err, &parser) || errors.As(err, &usage) || errors.As(err, &check) ||
		errors.As(err, &path) || errors.As(err, &revision)
}
