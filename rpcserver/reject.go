package rpcserver

import (
	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/finding"
)

// RejectionError returns the connect error for a call that the reducer rejected.
func RejectionError(e event.Reject) error {
	f := finding.Finding{Place: e.Place, Message: e.Reason}
	return connect.NewError(connectCode(e.Code), errors.New(f.String()))
}

func connectCode(c event.Code) connect.Code {
	switch c {
	case event.CodeInvalid:
		return connect.CodeInvalidArgument
	case event.CodeConflict:
		return connect.CodeAlreadyExists
	case event.CodeUnavailable:
		return connect.CodeUnavailable
	case event.CodeExhausted:
		return connect.CodeResourceExhausted
	}
	return connect.CodeInternal
}
