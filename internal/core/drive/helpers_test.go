package drive

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// answering is an adviser with a fixed answer.
type answering struct {
	err error
}

func (a answering) Advise(context.Context, hoist.StepRef, []hoist.WorkerID) (hoist.Advice, error) {
	return hoist.Advice{}, a.err
}

// TestReserve guards against more questions than advisers answer, which refuse
// them all when many wait.
func TestReserve(t *testing.T) {
	const short, long = 30 * time.Millisecond, 500 * time.Millisecond
	now := time.Now()
	newHelpers := func(hosts ...hoist.HostID) *AdviserPool {
		h := &AdviserPool{}
		for _, id := range hosts {
			h.Set(id, answering{})
		}
		return h
	}
	count := func(h *AdviserPool, need time.Duration) int {
		for n := 0; ; n++ {
			if _, ok := h.Reserve(need, now); !ok {
				return n
			}
		}
	}
	t.Run("no host", func(t *testing.T) {
		is.New(t).Equal(count(newHelpers(), short), 0)
	})
	t.Run("short ones queue up for a moment", func(t *testing.T) {
		is.New(t).Equal(count(newHelpers("a"), short), 2)
	})
	t.Run("long ones leave a host free", func(t *testing.T) {
		h := newHelpers("a", "b", "c", "d")
		is.New(t).Equal(count(h, long), 3)
		is.New(t).Equal(count(h, short), 2)
	})
	t.Run("free again after the answer", func(t *testing.T) {
		h := newHelpers("a")
		id, ok := h.Reserve(long, now)
		is.New(t).True(ok)
		_, _, err := h.Advise(context.Background(), sched.AdviceRequest{Host: id})
		is.New(t).NoErr(err)
		_, ok = h.Reserve(long, time.Now())
		is.New(t).True(ok)
	})
	t.Run("a host that failed is avoided", func(t *testing.T) {
		h := &AdviserPool{}
		h.Set("a", answering{hoist.ErrUnavailable})
		id, _ := h.Reserve(short, now)
		_, _, err := h.Advise(context.Background(), sched.AdviceRequest{Host: id})
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
		_, ok := h.Reserve(short, time.Now())
		is.New(t).True(!ok)
		_, ok = h.Reserve(short, time.Now().Add(helperPause+time.Second))
		is.New(t).True(ok)
	})
}
