package plans

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// fakeAdviser is an adviser that returns a fixed error, or none.
type fakeAdviser struct {
	err error
}

func (a fakeAdviser) Advise(context.Context, hoist.StepRef, []hoist.WorkerID) (hoist.Advice, error) {
	return hoist.Advice{}, a.err
}

// TestAdviserReservations guards against more requests than the advisers can answer:
// an adviser refuses requests when many wait.
func TestAdviserReservations(t *testing.T) {
	const short, long = 30 * time.Millisecond, 500 * time.Millisecond
	now := time.Now()
	newPool := func(hosts ...hoist.HostID) *AdviserPool {
		pool := &AdviserPool{}
		for _, id := range hosts {
			pool.Set(id, fakeAdviser{})
		}
		return pool
	}
	count := func(pool *AdviserPool, need time.Duration) int {
		for n := 0; ; n++ {
			if _, ok := pool.Reserve(need, now); !ok {
				return n
			}
		}
	}
	t.Run("no host", func(t *testing.T) {
		is.New(t).Equal(count(newPool(), short), 0)
	})
	t.Run("short requests wait for a limited time", func(t *testing.T) {
		is.New(t).Equal(count(newPool("a"), short), 2)
	})
	t.Run("long requests leave a host free", func(t *testing.T) {
		pool := newPool("a", "b", "c", "d")
		is.New(t).Equal(count(pool, long), 3)
		is.New(t).Equal(count(pool, short), 2)
	})
	t.Run("host is free again after the answer", func(t *testing.T) {
		pool := newPool("a")
		id, ok := pool.Reserve(long, now)
		is.New(t).True(ok)
		_, _, err := pool.Advise(context.Background(), sched.AdviceRequest{Host: id})
		is.New(t).NoErr(err)
		_, ok = pool.Reserve(long, time.Now())
		is.New(t).True(ok)
	})
	t.Run("host is not used for a time after a failure", func(t *testing.T) {
		pool := &AdviserPool{}
		pool.Set("a", fakeAdviser{hoist.ErrUnavailable})
		id, _ := pool.Reserve(short, now)
		_, _, err := pool.Advise(context.Background(), sched.AdviceRequest{Host: id})
		is.New(t).True(errors.Is(err, hoist.ErrUnavailable))
		_, ok := pool.Reserve(short, time.Now())
		is.New(t).True(!ok)
		_, ok = pool.Reserve(short, time.Now().Add(hostBackoff+time.Second))
		is.New(t).True(ok)
	})
}
