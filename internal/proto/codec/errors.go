package codec

import (
	"errors"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Code is the name of a domain error on the wire.
type Code string

// CodeInternal is the code of all errors that are not domain errors. The
// receiver cannot know whether such a call had an effect.
const CodeInternal Code = "internal"

var errorCodes = []struct {
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
	{"not-listening", hoist.ErrNotListening},
	{"replaced", hoist.ErrReplaced},
	{"lease-expired", hoist.ErrLeaseExpired},
	{"no-ticket", hoist.ErrTicket},
}

// ErrorCode returns the code of the domain error that err wraps, or CodeInternal
// if it wraps none.
func ErrorCode(err error) Code {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return CodeInternal
}

// Error returns the domain error with the given code and message. For an unknown
// code it returns hoist.ErrOutcomeUnknown, the only safe assumption.
func Error(code Code, message string) error {
	for _, c := range errorCodes {
		if c.code == code {
			return merry.Wrap(c.err, merry.WithMessage(message))
		}
	}
	return merry.Wrap(hoist.ErrOutcomeUnknown, merry.WithMessagef("peer returned an internal error: %s", message))
}
