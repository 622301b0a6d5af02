package client

import (
	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// ErrorKind classifies an error by what is known about the effect of the call.
type ErrorKind uint8

// The kinds of errors.
const (
	// KindNone is the kind of a nil error.
	KindNone ErrorKind = iota
	// KindInput means that the call is invalid; retrying it cannot succeed.
	KindInput
	// KindConflict means that the call conflicts with the state of the system, for
	// example because its identifier is in use with other content.
	KindConflict
	// KindUnavailable means that the call did not succeed for a temporary reason; it may
	// be retried.
	KindUnavailable
	// KindUnknown means that the call may have taken effect.
	KindUnknown
)

// Error is an error of a call with its kind.
type Error struct {
	Kind ErrorKind
	Err  error
}

// Error returns the message of the wrapped error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error that this package returned. Other errors are
// KindInput, for example those of a command line.
func KindOf(err error) ErrorKind {
	if err == nil {
		return KindNone
	}
	if e, ok := errors.Into[*Error](err); ok {
		return e.Kind
	}
	return KindInput
}

// kindOfCode returns the kind for the code of an error that a server sent. For a call
// that changes state it is KindUnknown, unless the code excludes an effect.
func kindOfCode(code connect.Code, changesState bool) ErrorKind {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeOutOfRange,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return KindInput
	case connect.CodeAlreadyExists, connect.CodeAborted, connect.CodeFailedPrecondition:
		return KindConflict
	case connect.CodeUnavailable, connect.CodeResourceExhausted:
		return KindUnavailable
	case connect.CodeDataLoss:
		return KindUnknown
	}
	return kindOfLostAnswer(changesState)
}

// kindOfLostAnswer returns the kind of the error for a call without an answer.
func kindOfLostAnswer(changesState bool) ErrorKind {
	if changesState {
		return KindUnknown
	}
	return KindUnavailable
}
