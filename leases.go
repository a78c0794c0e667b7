package hoist

import "time"

// StoreTime is a reading of the steady clock of the store, as the time since a moment that
// never changes. 0 means that the reading is not known.
type StoreTime time.Duration

// WorkerLease is the entry of a worker in a LeaseAccount.
type WorkerLease struct {
	Worker WorkerID
	// Incarnation is the one that has answered the last owner; 0 if it is not known.
	Incarnation Incarnation
	// IsOpen tells that the owner may grant leases to that incarnation.
	IsOpen bool
	// ConfirmedLeft is how long attempts that the worker has confirmed may run on without
	// a lease from the present owner, and UnconfirmedLeft the same of attempts whose start
	// the worker may have received in another incarnation. Neither counts further leases
	// that may be granted while IsOpen is set.
	ConfirmedLeft, UnconfirmedLeft time.Duration
	// RecordedLeft is ConfirmedLeft without the leases that the last owner may have granted
	// since it recorded the account.
	RecordedLeft time.Duration
	// Confirmed holds long-running attempts that the worker has confirmed in that incarnation and
	// whose recorded states may not tell it. It is not recorded.
	Confirmed []TaskRun
}

// LeaseAccount tells which leases the workers of a cell may hold. An owner grants a worker a
// lease only after the account that lists the worker as open is in the store, so that the
// next owner knows how long to wait for each worker.
type LeaseAccount struct {
	// IsPartial tells that workers without an entry may hold leases as well.
	IsPartial bool
	Workers   []WorkerLease
}
