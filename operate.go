package hoist

import (
	"context"
	"time"
)

// HostStatus describes an entry host to operators.
type HostStatus struct {
	Member Member
	// Config is the configuration version in force on the host according to its
	// last message.
	Config ConfigVersion
	// Heard is when the last message of the host arrived; zero means never.
	Heard time.Time
}

// ConfigChange is one accepted change of the configuration.
type ConfigChange struct {
	Version  ConfigVersion
	ChangeID ChangeID
}

// Drain tells whether a worker or executor is drained, so that it gets no new
// work.
type Drain struct {
	Kind    HostKind
	ID      string
	IsDrain bool
}

// OperatorService provides the operations of operators, independently of the
// front end. Its methods may be called concurrently.
type OperatorService interface {
	Hosts() []HostStatus
	// FenceHost takes over from a host that the operator declares dead, without
	// a vote; see docs/operations/membership.md for when that is safe.
	FenceHost(ctx context.Context, host HostID) error
	// ConfigText returns the configuration in force, in TOML.
	ConfigText() (ConfigVersion, string)
	ConfigHistory(ctx context.Context) ([]ConfigChange, error)
	// ApplyConfig makes a document the accepted configuration. A nil error means
	// that the change is accepted and durable.
	ApplyConfig(ctx context.Context, text string) (ConfigChange, error)
	// DiffConfig checks a document and returns the differences from the
	// configuration in force, one line each.
	DiffConfig(text string) ([]string, error)
	Jobs(ctx context.Context, team TeamID) ([]JobState, error)
	SubmitJob(ctx context.Context, s JobSpec) error
	CancelJob(ctx context.Context, ref JobRef) error
	Workers(ctx context.Context) []Candidate
	Executors(ctx context.Context) ([]HostEntry, error)
	// SetDrain starts or ends the draining of a worker or executor by changing
	// the configuration.
	SetDrain(ctx context.Context, d Drain) error
	// WriteReport returns a report in the configured layout, as text or HTML.
	WriteReport(ctx context.Context, name string, isHTML bool) (string, error)
}
