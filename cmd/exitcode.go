package cmd

import (
	"io/fs"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"wisteriacroft/finding"
	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
)

// An ExitCode is the exit code of a command.
type ExitCode int

// The exit codes of all commands.
const (
	ExitOK          ExitCode = iota // done
	ExitFailure                     // failed, a difference, or a violation
	ExitBadInput                    // invalid flags or findings; nothing was done
	ExitUnavailable                 // a required service is unavailable; nothing was done
	ExitConflict                    // a concurrent change of the same data; nothing was done
	ExitUnknown                     // unknown outcome: check before repeating
)

// exitMeanings are the descriptions in the reference for operators.
var exitMeanings = [...]string{
	ExitOK:          "Done.",
	ExitFailure:     "Failed. `profile diff`: there is a difference. `status`: a process is unreachable. `try`: a violation was found.",
	ExitBadInput:    "Wrong flags, or findings in an input. Nothing was done.",
	ExitUnavailable: "A service that the command needs is unavailable or out of date. Nothing was done.",
	ExitConflict:    "Someone else changed the same profile. Nothing was done.",
	ExitUnknown:     "The change may or may not have taken effect: look before repeating it.",
}

// An ExitError is an error with an exit code.
type ExitError struct {
	code ExitCode
	err  error
}

// NewExitError returns err with an exit code.
func NewExitError(code ExitCode, err error) *ExitError {
	return &ExitError{code: code, err: err}
}

// Code returns the exit code.
func (ee *ExitError) Code() ExitCode { return ee.code }

// Error implements error.
func (ee *ExitError) Error() string { return ee.err.Error() }

// Unwrap returns the wrapped error.
func (ee *ExitError) Unwrap() error { return ee.err }

// exitCodeOf returns the exit code for a command's error.
func exitCodeOf(err error) ExitCode {
	var (
		exit     *ExitError
		findings *finding.Error
		parse    *kong.ParseError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code()
	case errors.As(err, &findings), errors.As(err, &parse), errors.Is(err, fs.ErrNotExist):
		return ExitBadInput
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, keyvalue.ErrConflict):
		return ExitConflict
	case errors.Is(err, keyvalue.ErrUnavailable), errors.Is(err, instancelist.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}
