package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/keyvalue"
	"wisteriacroft/outcome"
)

// A Code is the wire name of a sentinel error, so that errors.Is matches it at the
// caller too.
type Code struct {
	Err  error
	Name string
}

// commonCodes returns the codes that all processes share.
func commonCodes() []Code {
	return []Code{
		{Err: context.Canceled, Name: "canceled"},
		{Err: context.DeadlineExceeded, Name: "deadline-exceeded"},
		{Err: engine.ErrBroken, Name: "engine-broken"},
		{Err: engine.ErrMismatchedResponse, Name: "engine-crossed"},
		{Err: engine.ErrFenced, Name: "engine-fenced"},
		{Err: engine.ErrNotSent, Name: "engine-not-sent"},
		{Err: keyvalue.ErrConflict, Name: "conflict"},
		{Err: keyvalue.ErrLeaseExpired, Name: "lease-expired"},
		{Err: keyvalue.ErrNotFound, Name: "not-found"},
		{Err: keyvalue.ErrOutcomeUnknown, Name: "outcome-unknown"},
		{Err: keyvalue.ErrTooLarge, Name: "value-too-large"},
		{Err: keyvalue.ErrUnavailable, Name: "unavailable"},
		{Err: ErrTooLarge, Name: "message-too-large"},
		{Err: ErrUnknownMethod, Name: "unknown-method"},
	}
}

// A RemoteError is an error returned by the remote process. It wraps the sentinel error
// of its code, if it has one.
type RemoteError struct {
	code    string
	message string
	wrapped error
}

// Code returns the code's name, or "".
func (re *RemoteError) Code() string { return re.code }

// Error implements error.
func (re *RemoteError) Error() string { return re.message }

// Unwrap returns the sentinel error of the code, or nil.
func (re *RemoteError) Unwrap() error { return re.wrapped }

// newFailure returns the wire form of err.
func newFailure(err error, codes []Code) *Failure {
	fa := &Failure{Message: err.Error()}
	var re *outcome.Refusal
	if errors.As(err, &re) {
		fa.Refusal = re
		return fa
	}
	for _, co := range append(commonCodes(), codes...) {
		if errors.Is(err, co.Err) {
			fa.Code = co.Name
			return fa
		}
	}
	return fa
}

// err returns the error of a failure: its refusal, or a RemoteError.
func (fa *Failure) err(codes []Code) error {
	if fa.Refusal != nil {
		return fa.Refusal
	}
	re := &RemoteError{code: fa.Code, message: fa.Message}
	for _, co := range append(commonCodes(), codes...) {
		if co.Name == fa.Code {
			re.wrapped = co.Err
			break
		}
	}
	return re
}
