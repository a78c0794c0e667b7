package codec

import (
	"errors"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Code names a domain error on the wire.
type Code string

// CodeInternal is the code of errors that are not domain errors. Their effect
// is unknown to the receiver.
const CodeInternal Code = "internal"

var codes = []struct {
	code Code
	err  error
}{
	{"unavailable", hoist.ErrUnavailable},
	{"outcome-unknown", hoist.ErrOutcomeUnknown},
	{"conflict", hoist.ErrConflict},
	{"stale-term", hoist.ErrStaleTerm},
	{"not-owner", hoist.ErrNotOwner},
	{"no-slot", hoist.ErrNoSlot},
	{"no-capacity", hoist.ErrNoCapacity},
	{"over-limit", hoist.ErrOverLimit},
	{"leaving", hoist.ErrLeaving},
	{"invalid", hoist.ErrInvalid},
	{"not-found", hoist.ErrNotFound},
	{"denied", hoist.ErrDenied},
}

// ErrorCode returns the code of err.
func ErrorCode(err error) Code {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return CodeInternal
}

// Error returns the domain error with the given code, which carries message.
// An unknown code gives hoist.ErrOutcomeUnknown, the only safe assumption.
func Error(code Code, message string) error {
	for _, c := range codes {
		if c.code == code {
			return merry.Wrap(c.err, merry.WithMessage(message))
		}
	}
	return merry.Wrap(hoist.ErrOutcomeUnknown, merry.WithMessagef("peer failed: %s", message))
}
