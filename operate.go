package hoist

import (
	"context"
	"time"
)

// HostStatus is what operators see of an entry host.
type HostStatus struct {
	Member Member
	// Config is the configuration version in force there, as last heard.
	Config ConfigVersion
	// Heard is when the host was last heard from; zero means never.
	Heard time.Time
}

// ConfigChange is one accepted change of the configuration.
type ConfigChange struct {
	Version  ConfigVersion
	ChangeID ChangeID
}

// Drain tells whether a worker or executor takes new work.
type Drain struct {
	Kind    HostKind
	ID      string
	IsDrain bool
}

// OperatorService is what operators can see and do, whatever the front end. Its
// methods may be called concurrently.
type OperatorService interface {
	Hosts() []HostStatus
	// FenceHost takes over from a host on the operator's word; see
	// docs/operations/membership.md for when that is safe.
	FenceHost(ctx context.Context, host HostID) error
	// ConfigText returns the configuration in force, in TOML.
	ConfigText() (ConfigVersion, string)
	ConfigHistory(ctx context.Context) ([]ConfigChange, error)
	// ApplyConfig makes a document the accepted configuration. A nil error
	// means that it is accepted for good.
	ApplyConfig(ctx context.Context, text string) (ConfigChange, error)
	// DiffConfig checks a document and returns what it would change, a line
	// for each difference.
	DiffConfig(text string) ([]string, error)
	Jobs(ctx context.Context, team TeamID) ([]JobState, error)
	SubmitJob(ctx context.Context, s JobSpec) error
	CancelJob(ctx context.Context, ref JobRef) error
	Workers(ctx context.Context) []Candidate
	Executors(ctx context.Context) ([]HostEntry, error)
	// SetDrain changes whether a worker or executor takes new work, by a
	// change of the configuration.
	SetDrain(ctx context.Context, d Drain) error
	// WriteReport returns a report in the configured layout, as text or HTML.
	WriteReport(ctx context.Context, name string, isHTML bool) (string, error)
}
