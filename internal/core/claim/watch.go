package claim

import (
	"context"
	"errors"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/clock"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/proto/rows"
)

const (
	// pulseEvery is the period of asking the owner whether it lives, pulseAgain
	// the wait after a pulse without an answer, and pulseTimeout the time for one.
	pulseEvery   = 200 * time.Millisecond
	pulseAgain   = 50 * time.Millisecond
	pulseTimeout = 250 * time.Millisecond
	// missedPulses is how many pulses in a row must stay without an answer before
	// a short silence at the store counts.
	missedPulses = 2
	// shortSilence is how old the owner's last renewal is then, and silence how
	// old it is otherwise: a renewal takes a second on a slow store.
	shortSilence = 900 * time.Millisecond
	silence      = 2200 * time.Millisecond
	// lostFor is how long the owner has been without the store, by its own word,
	// when another host claims the cell, and unheardFor how long if no call has
	// failed. An owner that lives hears of the store at each renewal.
	lostFor    = 300 * time.Millisecond
	unheardFor = 1500 * time.Millisecond
	// slowPulse is from where the answer to a pulse is slow: an owner with enough
	// processor answers within a few milliseconds. After slowPulses of them in a
	// row, pulses without an answer included, the owner counts as slow. A pause of
	// this host that is longer than it should be by lateBy tells that this host is
	// the slow one.
	slowPulse  = 80 * time.Millisecond
	slowPulses = 4
	lateBy     = 40 * time.Millisecond
	// slowMemory is how long after the last slow answer pulses without an answer
	// count as slow ones.
	slowMemory = 3 * time.Second
	// slowPause is how long an owner is left in place before it is replaced for
	// being slow: if the load is what slows it, another would be no better.
	slowPause = 10 * time.Second
)

// watcher asks the owner of the cell for pulses over a connection of its own.
type watcher struct {
	keeper *Manager
	owner  rows.Owner
	peer   hoist.HealthChecker
	// missed counts the pulses in a row without an answer, and isRefused tells
	// that nothing listens at the owner's address.
	missed    int
	isRefused bool
	hasPulse  bool
	last      hoist.HostHealth
	// slow counts the slow pulses in a row, and slowAt is when one was answered.
	slow   int
	slowAt time.Time
}

// watch asks for pulses until one is a reason to read the owner's rows, or until
// that is due anyhow.
func (w *watcher) watch(ctx context.Context) {
	w.turnTo(w.keeper.seen.owner)
	if w.peer == nil {
		clock.Pause(ctx, nearLook)
		return
	}
	for began := w.keeper.Clock.Now(); w.keeper.Clock.Now().Sub(began) < farLook; {
		gap := pulseEvery
		if w.missed > 0 {
			gap = pulseAgain
		}
		paused := w.keeper.Clock.Now()
		if !clock.Pause(ctx, gap) {
			return
		}
		if w.keeper.Clock.Now().Sub(paused) > gap+lateBy {
			w.slow = 0
		}
		if !w.pulse(ctx) {
			return
		}
	}
}

// turnTo watches another owner.
func (w *watcher) turnTo(owner rows.Owner) {
	if w.owner == owner {
		return
	}
	w.close()
	*w = watcher{keeper: w.keeper, owner: owner}
	if w.keeper.Dial != nil {
		w.peer = w.keeper.Dial(owner.Addr)
	}
}

func (w *watcher) close() {
	if w.peer != nil {
		w.peer.Close()
		w.peer = nil
	}
}

// pulse asks for one pulse. It reports whether all is well.
func (w *watcher) pulse(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	asked := w.keeper.Clock.Now()
	p, err := w.peer.CheckHealth(callCtx, w.keeper.Host)
	if ctx.Err() != nil {
		return false
	}
	w.noteSpeed(asked, err == nil)
	if err != nil {
		if w.missed == 0 {
			events.OwnerUnresponsive.Log(ctx, w.keeper.Log, "owner", w.owner.Host, "term", w.owner.Term, "error", err)
		}
		w.missed++
		w.isRefused = errors.Is(err, hoist.ErrNotListening)
		return false
	}
	w.missed, w.isRefused, w.hasPulse, w.last = 0, false, true, p
	if int(p.Term) == w.owner.Term {
		w.keeper.seen.heard(p.RenewalVersion, w.keeper.Clock.Now().Add(-p.SinceRenewal))
	}
	return !w.isCut(w.owner) && !w.isSlow(w.owner)
}

// noteSpeed notes how long the answer to a pulse took.
func (w *watcher) noteSpeed(asked time.Time, isAnswered bool) {
	now := w.keeper.Clock.Now()
	isSlow := now.Sub(asked) > slowPulse
	if isAnswered && !isSlow {
		w.slow = 0
		return
	}
	if isAnswered {
		w.slowAt = now
	}
	w.slow++
}

// isSlow reports whether the owner answers, and lacks processor.
func (w *watcher) isSlow(owner rows.Owner) bool {
	return w.owner == owner && w.slow >= slowPulses && w.keeper.Clock.Now().Sub(w.slowAt) < slowMemory
}

// heard notes that the owner had sent a renewal at a time, which wrote a version
// of its row.
func (s *observed) heard(beat hoist.RowVersion, renewed time.Time) {
	if beat > s.heardBeat && beat >= s.beatVersion {
		s.heardBeat, s.renewed = beat, renewed
	}
}

// isGone reports whether the process of the owner has ended.
func (w *watcher) isGone(owner rows.Owner) bool {
	return w.owner == owner && w.isRefused
}

// isCut reports whether the owner answers and cannot act for the cell.
func (w *watcher) isCut(owner rows.Owner) bool {
	if w.owner != owner || !w.hasPulse || w.missed > 0 {
		return false
	}
	p := w.last
	return int(p.Term) != owner.Term || p.StoreAge > unheardFor || (p.IsStoreLost && p.StoreAge > lostFor)
}

// silence returns how old the owner's last renewal must be before another host
// claims the cell.
func (w *watcher) silence() time.Duration {
	if w.missed >= missedPulses {
		return shortSilence
	}
	return silence
}
