package queues_test

import (
	"context"
	"errors"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/queues"
)

const (
	revokeTime = 5 * time.Second
	applyTime  = 3 * time.Second
	// storeDelay is the time of an answer of the store, and slowDelay that of one that is 50
	// times slower.
	storeDelay = 4 * time.Millisecond
	slowDelay  = 50 * storeDelay
	// sampleInterval is the time between two checks of a scenario.
	sampleInterval = 20 * time.Millisecond
)

// suspendClock is a clock that includes the time in which the machine was suspended.
type suspendClock struct {
	mu        sync.Mutex
	suspended time.Duration
}

func (c *suspendClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.suspended)
}

// suspend passes a time that no timer notices.
func (c *suspendClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += d
}

// storeFault is a fault of the store: it returns the error of a call, or passes it on.
type storeFault func(ctx context.Context, read func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error)

func silent(ctx context.Context, _ func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
	<-ctx.Done()
	return hoist.QueueConfig{}, hoist.ErrUnavailable
}

func refusing(context.Context, func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
	return hoist.QueueConfig{}, hoist.ErrUnavailable
}

func resetting(ctx context.Context, _ func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
	select {
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
	}
	return hoist.QueueConfig{}, hoist.ErrUnavailable
}

func unreadable(context.Context, func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
	return hoist.QueueConfig{}, hoist.ErrInvalid
}

func historyLost(context.Context, func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
	return hoist.QueueConfig{}, hoist.ErrHistoryLost
}

// delayed answers after some time, or not at all if the call has ended.
func delayed(d time.Duration) storeFault {
	return func(ctx context.Context, read func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
		select {
		case <-time.After(d):
			return read()
		case <-ctx.Done():
			return hoist.QueueConfig{}, hoist.ErrUnavailable
		}
	}
}

// lossy loses all answers but each nth, and delays that one.
func lossy(n int, d time.Duration) storeFault {
	calls := 0
	return func(ctx context.Context, read func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
		if calls++; calls%n != 0 {
			return silent(ctx, read)
		}
		return delayed(d)(ctx, read)
	}
}

// answeredLate reads at once and hands over the answer late, whether the call has ended or
// not, as a host that is frozen meanwhile sees it.
func answeredLate(d time.Duration) storeFault {
	return func(_ context.Context, read func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
		config, err := read()
		time.Sleep(d)
		return config, err
	}
}

// lagging answers with the configuration of the moment at which it was made.
func lagging(old hoist.QueueConfig) storeFault {
	return func(context.Context, func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
		time.Sleep(storeDelay)
		return old, nil
	}
}

// keySource is a source whose configuration and fault a scenario changes. Its feed of
// changes delivers nothing if feedLags is set.
type keySource struct {
	mu       sync.Mutex
	config   hoist.QueueConfig
	fault    storeFault
	reads    int
	feedLags bool
}

func (s *keySource) set(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *keySource) put(c hoist.QueueConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

func (s *keySource) numReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *keySource) current() (hoist.QueueConfig, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, nil
}

func (s *keySource) Config(ctx context.Context, after hoist.RowVersion, wait time.Duration) (hoist.QueueConfig, hoist.RowVersion, error) {
	s.mu.Lock()
	s.reads++
	fault, isLate := s.fault, s.feedLags && after > 0
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	config, err := fault(ctx, s.current)
	if isLate {
		config = hoist.QueueConfig{}
	}
	return config, 1, err
}

// hash returns the hash of a key.
func hash(key string) hoist.KeyHash {
	return access.Hash(access.Token(key))
}

// configOf returns a configuration with a private and a public queue, and with teams by
// their keys.
func configOf(v hoist.ConfigVersion, teams map[string]hoist.TeamID) hoist.QueueConfig {
	c := hoist.QueueConfig{Version: v, NeedsKeys: true, Queues: []hoist.QueueEntry{private, public}}
	for key, team := range teams {
		c.Teams = append(c.Teams, hoist.TeamConfig{Team: team, Keys: []hoist.KeyHash{hash(key)}})
	}
	return c
}

var (
	private = hoist.QueueEntry{Queue: hoist.Queue{Name: "private"}, HostName: "h", Prefix: "/private/"}
	public  = hoist.QueueEntry{Queue: hoist.Queue{Name: "public"}, HostName: "h", Prefix: "/public/", IsPublic: true}
	strict  = queues.KeyRules{IsStrict: true, RevokeTime: revokeTime, ApplyTime: applyTime}
)

// outcome names the result of a check of a key.
func outcome(caller hoist.PlanCaller, err error) string {
	switch {
	case errors.Is(err, hoist.ErrDenied):
		return "denied"
	case errors.Is(err, hoist.ErrUnavailable):
		return "too old"
	case err != nil:
		return err.Error()
	default:
		return "served " + string(caller.Team)
	}
}

// scenario is a follower under test with its source and clock.
type scenario struct {
	t *testing.T
	*queues.Follower
	source *keySource
	clock  *suspendClock
	began  time.Time
}

// runScenario runs a test against a follower that has read a configuration in which the
// key "old" belongs to team a, and whose store answers in storeDelay.
func runScenario(t *testing.T, rules queues.KeyRules, test func(*scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{t: t, source: &keySource{config: configOf(1, map[string]hoist.TeamID{"old": "a"}), fault: delayed(storeDelay)}, clock: &suspendClock{}}
		s.Follower = &queues.Follower{Source: s.source, Clock: s.clock, Rules: func() queues.KeyRules { return rules }}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		time.Sleep(time.Second)
		s.began = time.Now()
		test(s)
		cancel()
		running.Wait()
	})
}

// check returns the outcome of a call with a key to the private queue.
func (s *scenario) check(key string) string {
	return outcome(s.Identify(private, hash(key)))
}

// during checks a key again and again for some time and returns the outcomes, each with
// the time of its first and last occurrence since the beginning of the scenario.
func (s *scenario) during(d time.Duration, key string) map[string][2]time.Duration {
	out := make(map[string][2]time.Duration)
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(sampleInterval) {
		got, at := s.check(key), time.Since(s.began)
		if span, ok := out[got]; ok {
			out[got] = [2]time.Duration{span[0], at}
		} else {
			out[got] = [2]time.Duration{at, at}
		}
	}
	return out
}

// wantOnly fails the test unless all outcomes are as wanted.
func (s *scenario) wantOnly(outcomes map[string][2]time.Duration, want string) {
	s.t.Helper()
	if _, ok := outcomes[want]; !ok || len(outcomes) != 1 {
		s.t.Errorf("outcomes are %v, expected %q only", outcomes, want)
	}
}

// wantLast fails the test unless an outcome occurs last within a time.
func (s *scenario) wantLast(outcomes map[string][2]time.Duration, what string, limit time.Duration) {
	s.t.Helper()
	if span, ok := outcomes[what]; ok && span[1] > limit {
		s.t.Errorf("%q occurs until %s, expected until %s at most", what, span[1], limit)
	}
}

// TestStoreFaults guards against a key that is served too long after its removal, whatever
// the store does, and against keys that are refused although the store answers.
func TestStoreFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault storeFault
		// keepsServing tells that a key that is not removed is served all the time.
		keepsServing bool
		// revokedWithin bounds the time for which a removed key is served.
		revokedWithin time.Duration
		// settle is how long the fault lasts at most once it has been removed.
		settle time.Duration
	}{
		{"store answers", delayed(storeDelay), true, time.Second, 0},
		{"store silent", silent, false, revokeTime, 0},
		{"store refusing", refusing, false, revokeTime, 0},
		{"store resetting", resetting, false, revokeTime, 0},
		{"store slow", delayed(slowDelay), true, applyTime, 0},
		{"store very slow", delayed(6 * slowDelay), true, applyTime, 0},
		{"store loses every second answer", lossy(2, storeDelay), true, applyTime, 0},
		{"store slow and loses every second answer", lossy(2, slowDelay), true, applyTime, 0},
		{"store loses two answers of three", lossy(3, slowDelay), true, revokeTime, 0},
		{"history lost", historyLost, false, revokeTime, 0},
		{"configuration unreadable", unreadable, false, revokeTime, 0},
		{"host frozen", answeredLate(12 * time.Second), false, revokeTime, 13 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, strict, func(s *scenario) {
				s.source.set(tc.fault)
				outcomes := s.during(30*time.Second, "old")
				if tc.keepsServing {
					s.wantOnly(outcomes, "served a")
				} else {
					s.wantLast(outcomes, "denied", 0)
				}
			})
			runScenario(t, strict, func(s *scenario) {
				s.source.set(tc.fault)
				time.Sleep(600 * time.Millisecond) // a read that sees the old configuration may be in progress
				s.source.put(configOf(2, map[string]hoist.TeamID{"new": "a"}))
				s.began = time.Now()
				outcomes := s.during(30*time.Second, "old")
				s.wantLast(outcomes, "served a", tc.revokedWithin)
				s.source.set(delayed(storeDelay))
				time.Sleep(max(2*time.Second, tc.settle)) // the longest read in progress ends
				s.wantOnly(s.during(time.Second, "old"), "denied")
				s.wantOnly(s.during(time.Second, "new"), "served a")
			})
		})
	}
}

// TestStaleAnswers guards against a store or feed that lags: an answer that is older than the
// configuration in force must neither bring a removed key back nor count as a confirmation.
func TestStaleAnswers(t *testing.T) {
	old := configOf(1, map[string]hoist.TeamID{"old": "a"})
	runScenario(t, strict, func(s *scenario) {
		s.source.put(configOf(2, map[string]hoist.TeamID{"new": "a"}))
		time.Sleep(time.Second)
		s.source.set(lagging(old))
		outcomes := s.during(20*time.Second, "new")
		s.wantLast(outcomes, "served a", time.Second+revokeTime)
		is.New(t).Equal(s.Version(), hoist.ConfigVersion(2))
		is.New(t).Equal(s.check("old"), "too old")
		s.source.put(hoist.QueueConfig{}) // the row is gone
		s.source.set(delayed(storeDelay))
		s.wantOnly(s.during(3*time.Second, "new"), "too old")
	})
}

// TestFeedLags guards against a feed of changes that lags: the age must only restart with
// an answer that tells what is in force.
func TestFeedLags(t *testing.T) {
	runScenario(t, strict, func(s *scenario) {
		s.source.mu.Lock()
		s.source.feedLags = true
		s.source.mu.Unlock()
		s.source.put(configOf(2, map[string]hoist.TeamID{"new": "a"}))
		s.wantLast(s.during(5*time.Second, "old"), "served a", time.Second)
	})
}

// TestSuspendedHost guards against a host that was suspended and serves a key that was
// removed meanwhile, before it has read the configuration again.
func TestSuspendedHost(t *testing.T) {
	for _, d := range []time.Duration{revokeTime, time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			runScenario(t, strict, func(s *scenario) {
				is := is.New(t)
				s.source.put(configOf(2, map[string]hoist.TeamID{"new": "a"}))
				s.clock.suspend(d)
				is.Equal(s.check("old"), "too old")
				is.True(!s.AcceptsKeys())
				s.wantLast(s.during(5*time.Second, "old"), "too old", time.Second)
				is.Equal(s.check("old"), "denied")
				is.Equal(s.check("new"), "served a")
				is.True(s.AcceptsKeys())
			})
		})
	}
	t.Run("answer from before", func(t *testing.T) {
		runScenario(t, strict, func(s *scenario) {
			s.source.set(func(_ context.Context, read func() (hoist.QueueConfig, error)) (hoist.QueueConfig, error) {
				config, err := read()
				s.clock.suspend(time.Minute)
				s.source.set(silent)
				return config, err
			})
			time.Sleep(time.Second)
			s.wantOnly(s.during(5*time.Second, "old"), "too old")
		})
	})
}

// TestOutageEnds guards against a host that stays out of service after an outage, and
// against one that answers an unknown key as denied while the key may be new.
func TestOutageEnds(t *testing.T) {
	for name, fault := range map[string]storeFault{"silent": silent, "refusing": refusing, "resetting": resetting, "lossy": lossy(100, 0)} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, strict, func(s *scenario) {
				is := is.New(t)
				s.source.set(fault)
				is.Equal(s.check("unknown"), "denied")
				time.Sleep(applyTime + 100*time.Millisecond)
				is.Equal(s.check("unknown"), "too old")
				is.Equal(s.check("old"), "served a")
				time.Sleep(10 * time.Second)
				is.Equal(s.check("old"), "too old")
				is.True(!s.AcceptsKeys())
				s.source.set(delayed(slowDelay))
				s.began = time.Now()
				s.wantLast(s.during(5*time.Second, "old"), "too old", 2*time.Second)
				is.True(s.AcceptsKeys())
				is.Equal(s.check("unknown"), "denied")
			})
		})
	}
}

// TestKeyChanges guards against a change of the keys that takes effect late or on the
// wrong team.
func TestKeyChanges(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after map[string]hoist.TeamID
		want  map[string]string
	}{
		{"key revoked", map[string]hoist.TeamID{"second": "a"}, map[string]string{"old": "denied", "second": "served a"}},
		{"key added", map[string]hoist.TeamID{"old": "a", "new": "a"}, map[string]string{"old": "served a", "new": "served a"}},
		{"key moved to another team", map[string]hoist.TeamID{"old": "b"}, map[string]string{"old": "served b"}},
		{"team removed", nil, map[string]string{"old": "denied"}},
	} {
		for name, d := range map[string]time.Duration{"fast": storeDelay, "slow": slowDelay} {
			t.Run(tc.name+" on a "+name+" store", func(t *testing.T) {
				runScenario(t, strict, func(s *scenario) {
					s.source.set(delayed(d))
					s.source.put(configOf(2, tc.after))
					time.Sleep(applyTime - time.Second)
					for key, want := range tc.want {
						is.New(t).Equal(s.check(key), want)
					}
				})
			})
		}
	}
	t.Run("keys are no longer needed", func(t *testing.T) {
		runScenario(t, strict, func(s *scenario) {
			s.source.put(hoist.QueueConfig{Version: 2})
			time.Sleep(time.Second)
			s.source.set(silent)
			s.wantOnly(s.during(10*time.Second, "none"), "served ")
			is.New(t).True(s.AcceptsKeys())
		})
	})
	t.Run("keys are needed from now on", func(t *testing.T) {
		runScenario(t, queues.KeyRules{}, func(s *scenario) {
			s.source.put(hoist.QueueConfig{Version: 2})
			time.Sleep(time.Second)
			is.New(t).Equal(s.check("old"), "served ")
			s.source.put(configOf(3, map[string]hoist.TeamID{"old": "a"}))
			time.Sleep(applyTime)
			is.New(t).Equal(s.check("old"), "served a")
		})
	})
}

// TestWhoNeedsKeys guards against a queue that is served without a key although it needs
// one, or the other way round, and against a call that is charged to the wrong team.
func TestWhoNeedsKeys(t *testing.T) {
	noKey := hoist.KeyHash{}
	for _, tc := range []struct {
		name   string
		rules  queues.KeyRules
		config hoist.QueueConfig
		queue  hoist.QueueEntry
		key    hoist.KeyHash
		want   string
	}{
		{"no tenants, no key", queues.KeyRules{}, hoist.QueueConfig{Version: 2}, private, noKey, "served "},
		{"no tenants, a key", queues.KeyRules{}, hoist.QueueConfig{Version: 2}, private, hash("old"), "served "},
		{"settings need keys", queues.KeyRules{IsRequired: true}, hoist.QueueConfig{Version: 2}, private, noKey, "denied"},
		{"document has no teams", queues.KeyRules{}, configOf(2, nil), private, hash("old"), "denied"},
		{"no key", strict, configOf(2, map[string]hoist.TeamID{"old": "a"}), private, noKey, "denied"},
		{"known key", strict, configOf(2, map[string]hoist.TeamID{"old": "a"}), private, hash("old"), "served a"},
		{"public queue, no key", strict, configOf(2, map[string]hoist.TeamID{"old": "a"}), public, noKey, "served "},
		{"public queue, known key", strict, configOf(2, map[string]hoist.TeamID{"old": "a"}), public, hash("old"), "served a"},
		{"public queue, unknown key", strict, configOf(2, map[string]hoist.TeamID{"old": "a"}), public, hash("x"), "served "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, tc.rules, func(s *scenario) {
				s.source.put(tc.config)
				time.Sleep(3 * time.Second)
				caller, err := s.Identify(tc.queue, tc.key)
				is.New(t).Equal(outcome(caller, err), tc.want)
				is.New(t).Equal(caller.IsLimited, err == nil && caller.Team != "" && !tc.queue.IsPublic)
			})
		})
	}
	t.Run("public queue of a host without the store", func(t *testing.T) {
		runScenario(t, strict, func(s *scenario) {
			s.source.set(silent)
			time.Sleep(time.Minute)
			is.New(t).Equal(outcome(s.Identify(public, hash("old"))), "served ") // the key may be revoked
		})
	})
	t.Run("revocation is not strict", func(t *testing.T) {
		runScenario(t, queues.KeyRules{}, func(s *scenario) {
			s.source.set(silent)
			s.wantOnly(s.during(time.Minute, "old"), "served a")
			is.New(t).Equal(s.check("unknown"), "too old")
			is.New(t).True(s.AcceptsKeys())
		})
	})
}

// TestNoReadsWithoutKeys guards against a cell without keys that reads its configuration
// more often than before.
func TestNoReadsWithoutKeys(t *testing.T) {
	runScenario(t, queues.KeyRules{}, func(s *scenario) {
		s.source.put(hoist.QueueConfig{Version: 2})
		time.Sleep(time.Second)
		before := s.source.numReads()
		time.Sleep(12 * time.Second)
		is.New(t).True(s.source.numReads()-before <= 10) // a wait of 1.2 s each
	})
}

// TestManyKeys guards against keys that take more memory than a small host can spare.
func TestManyKeys(t *testing.T) {
	const (
		numKeys  = 10_000
		maxBytes = 3 << 19 // 1.5 MB
	)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	config := hoist.QueueConfig{Version: 1, NeedsKeys: true}
	for i := range 20 {
		team := hoist.TeamConfig{Team: hoist.TeamID(strconv.Itoa(i)), Keys: make([]hoist.KeyHash, 0, numKeys/20)}
		for k := range cap(team.Keys) {
			team.Keys = append(team.Keys, hash(strconv.Itoa(i)+"/"+strconv.Itoa(k)))
		}
		config.Teams = append(config.Teams, team)
	}
	f, _ := runFollower(answer{config: config})
	used := heap() - before
	is := is.New(t)
	is.True(used < maxBytes)
	t.Logf("%d keys take %d bytes", numKeys, used)
	caller, err := f.Identify(private, hash("19/499"))
	is.NoErr(err)
	is.Equal(caller.Team, hoist.TeamID("19"))
}

// BenchmarkIdentify measures the check of a key among 10,000.
func BenchmarkIdentify(b *testing.B) {
	team := hoist.TeamConfig{Team: "a"}
	for i := range 10_000 {
		team.Keys = append(team.Keys, hash(strconv.Itoa(i)))
	}
	f, _ := runFollower(answer{config: hoist.QueueConfig{Version: 1, NeedsKeys: true, Teams: []hoist.TeamConfig{team}}})
	f.Clock, f.Rules = clock.NewLease(), func() queues.KeyRules { return queues.KeyRules{} }
	for name, key := range map[string]string{"known": "4711", "unknown": "x"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = f.Identify(private, hash(key))
			}
		})
	}
}
