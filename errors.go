package hoist

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Errors that cross package boundaries. Each layer converts the errors of the
// layer below into one of these or into its own; test for them with errors.Is.
var (
	// ErrUnavailable reports that a peer could not be reached and that the
	// operation certainly had no effect.
	ErrUnavailable = merry.Sentinel("unavailable")

	// ErrOutcomeUnknown reports that an operation may or may not have had an
	// effect, because its answer was lost.
	ErrOutcomeUnknown = merry.Sentinel("outcome unknown")

	// ErrConflict reports that a row was changed by another transaction. The
	// transaction had no effect.
	ErrConflict = merry.Sentinel("conflict with another transaction")

	// ErrStaleTerm reports that a message carried a lower term, or token, than its
	// receiver has seen. The message had no effect.
	ErrStaleTerm = merry.Sentinel("stale term")

	// ErrNotOwner reports that the host does not own the shard or holds no
	// valid lease. The message had no effect.
	ErrNotOwner = merry.Sentinel("not the owner")

	// ErrNoSlot reports that all slots of an executor are taken. The attempt
	// was not run.
	ErrNoSlot = merry.Sentinel("no free slot")

	// ErrNoCapacity reports that a worker has less free capacity than a task
	// needs.
	ErrNoCapacity = merry.Sentinel("not enough free capacity")

	// ErrOverLimit reports that a limit or quota would be exceeded.
	ErrOverLimit = merry.Sentinel("over the limit")

	// ErrLeaving reports that a worker, executor or host accepts no new work.
	ErrLeaving = merry.Sentinel("leaving")

	// ErrInvalid reports input that breaks the rules of its format.
	ErrInvalid = merry.Sentinel("invalid")

	// ErrDenied reports a caller who is unknown or not permitted to perform the
	// operation.
	ErrDenied = merry.Sentinel("access denied")

	// ErrOtherTeam reports that a plan belongs to another team than the caller.
	// The operation had no effect.
	ErrOtherTeam = merry.Sentinel("belongs to another team")

	// ErrNotFound reports that the named entity does not exist.
	ErrNotFound = merry.Sentinel("not found")

	// ErrNotListening reports that the peer's machine answered that no process
	// listens at the address. The operation had no effect.
	ErrNotListening = merry.Sentinel("no process listens there")

	// ErrReplaced reports that a different worker answers at the address. The
	// message had no effect.
	ErrReplaced = merry.Sentinel("replaced by another worker")

	// ErrLeaseExpired reports that the lease in a message has expired. The
	// message had no effect.
	ErrLeaseExpired = merry.Sentinel("lease expired")

	// ErrTicket reports a ticket that is missing or no longer valid. The task
	// was not started.
	ErrTicket = merry.Sentinel("no valid ticket")

	// ErrHistoryLost reports that the changes asked for are no longer available;
	// the rows must be read again.
	ErrHistoryLost = merry.Sentinel("change history lost")
)

// ConvertError returns an error of the given kind whose message ends with that
// of cause. errors.Is reports true for kind and false for cause, so that
// errors of one layer do not match in the layers above.
func ConvertError(kind, cause error) error {
	return merry.WrapSkipping(kind, 1, merry.AppendMessage(cause.Error()))
}

// ConvertErrorf is ConvertError with a formatted message in front.
func ConvertErrorf(kind, cause error, format string, args ...any) error {
	return merry.WrapSkipping(kind, 1, merry.AppendMessage(cause.Error()), merry.PrependMessage(fmt.Sprintf(format, args...)))
}
