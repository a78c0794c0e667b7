package queues

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
)

const (
	// defaultRevokeTime and defaultApplyTime are the times of the platform's contract, for
	// settings that lack them.
	defaultRevokeTime = 5 * time.Second
	defaultApplyTime  = 3 * time.Second
	// revokeMargin is subtracted from the time for a revocation. A key is checked as soon as
	// a call has arrived, so the margin only covers clocks of different speed and the time
	// between the change of the row and its acknowledgement to the operator.
	revokeMargin = 500 * time.Millisecond
	// maxInvalidLogged bounds the log lines about invalid entries of one version.
	maxInvalidLogged = 20
)

// KeyRules are the rules about keys from the settings of a host.
type KeyRules struct {
	// IsRequired tells that calls need keys whatever the configuration says.
	IsRequired bool
	// IsStrict tells that no call is served that was sent later than RevokeTime after its
	// key was removed.
	IsStrict bool
	// RevokeTime and ApplyTime are counted from the acknowledgement of a configuration:
	// after them, removed keys are refused and new ones work. 0 leaves the defaults.
	RevokeTime time.Duration
	ApplyTime  time.Duration
}

// maxAge returns the age of the configuration up to which keys are accepted.
func (r KeyRules) maxAge() time.Duration {
	limit := r.RevokeTime
	if limit == 0 {
		limit = defaultRevokeTime
	}
	return max(limit/2, limit-revokeMargin)
}

// applyTime returns the age of the configuration up to which an unknown key is certainly
// not a new one.
func (r KeyRules) applyTime() time.Duration {
	if r.ApplyTime == 0 {
		return defaultApplyTime
	}
	return r.ApplyTime
}

// teamIndex finds the team of a key. The values are indexes of the list of teams, as they
// take less memory than names.
type teamIndex map[hoist.KeyHash]uint32

func newTeamIndex(teams []hoist.TeamConfig) teamIndex {
	n := 0
	for _, t := range teams {
		n += len(t.Keys)
	}
	index := make(teamIndex, n)
	for i, t := range teams {
		for _, key := range t.Keys {
			index[key] = uint32(i)
		}
	}
	return index
}

// rules returns the rules that the settings ask for now.
func (f *Follower) rules() KeyRules {
	if f.Rules == nil {
		return KeyRules{}
	}
	return f.Rules()
}

func (f *Follower) now() time.Time {
	if f.Clock == nil {
		return time.Now()
	}
	return f.Clock.Now()
}

// needsKeys reports whether calls need keys.
func (f *Follower) needsKeys(rules KeyRules) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return rules.IsRequired || f.config.NeedsKeys
}

// Identify returns on whose behalf a call to a queue with a key is made. The zero key
// stands for none. It returns hoist.ErrDenied if the queue needs a key and this one is
// unknown, and hoist.ErrUnavailable if the configuration is too old to tell.
func (f *Follower) Identify(q hoist.QueueEntry, key hoist.KeyHash) (hoist.PlanCaller, error) {
	rules := f.rules()
	// The call was sent before this time. A configuration that becomes newer after it only
	// makes the check stricter, also if the process is suspended in between.
	now := f.now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !rules.IsRequired && !f.config.NeedsKeys {
		return hoist.PlanCaller{}, nil
	}
	age := now.Sub(f.confirmedAt)
	isTooOld := rules.IsStrict && age > rules.maxAge()
	i, isKnown := f.byKey[key]
	switch {
	case q.IsPublic && isKnown && !isTooOld:
		return hoist.PlanCaller{Team: f.config.Teams[i].Team}, nil
	case q.IsPublic:
		return hoist.PlanCaller{}, nil
	case isTooOld:
		return hoist.PlanCaller{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("the configuration is too old to accept keys"))
	case isKnown:
		return hoist.PlanCaller{Team: f.config.Teams[i].Team, IsLimited: true}, nil
	case key == hoist.KeyHash{}:
		return hoist.PlanCaller{}, merry.Wrap(hoist.ErrDenied, merry.AppendMessage("the call has no key"))
	case age > rules.applyTime():
		return hoist.PlanCaller{}, merry.Wrap(hoist.ErrUnavailable, merry.PrependMessage("the configuration is too old to refuse a key"))
	default:
		return hoist.PlanCaller{}, merry.Wrap(hoist.ErrDenied, merry.AppendMessage("unknown key"))
	}
}

// AcceptsKeys reports whether calls with a valid key are served: no key is needed, or the
// configuration is new enough.
func (f *Follower) AcceptsKeys() bool {
	rules := f.rules()
	now := f.now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	isNeeded := rules.IsRequired || f.config.NeedsKeys
	return !isNeeded || !rules.IsStrict || now.Sub(f.confirmedAt) <= rules.maxAge()
}

// confirm records that a read of the whole configuration, sent at a time, was answered with
// a version. An older version than the one in force confirms nothing: the answer is stale.
func (f *Follower) confirm(version hoist.ConfigVersion, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version > 0 && version == f.config.Version && sentAt.After(f.confirmedAt) {
		f.confirmedAt = sentAt
	}
}

// logAge logs when the configuration becomes too old to accept keys, and when it is new
// enough again. wasTooOld is the result of the last call.
func (f *Follower) logAge(ctx context.Context, wasTooOld bool) bool {
	isTooOld := f.Version() > 0 && !f.AcceptsKeys()
	if isTooOld == wasTooOld {
		return isTooOld
	}
	event := events.ConfigConfirmed
	if isTooOld {
		event = events.ConfigTooOld
	}
	event.Log(ctx, f.Log, "version", f.Version())
	return isTooOld
}

// logInvalid logs what was left out of a configuration.
func (f *Follower) logInvalid(ctx context.Context, c hoist.QueueConfig) {
	for i, entry := range c.Invalid {
		if i == maxInvalidLogged {
			events.ConfigTeamInvalid.Log(ctx, f.Log, "version", c.Version, "more", len(c.Invalid)-i)
			return
		}
		events.ConfigTeamInvalid.Log(ctx, f.Log, "version", c.Version, "team", entry.Team, "field", entry.Field, "problem", entry.Problem)
	}
}
