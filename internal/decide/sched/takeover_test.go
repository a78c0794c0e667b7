package sched_test

import (
	"fmt"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/sched"
)

// listed returns a cell whose workers are listed and were not looked at.
func listed(t *testing.T, n int) *cell {
	c := newCell(t)
	for i := range n {
		id := hoist.WorkerID(fmt.Sprintf("w%02d", i))
		c.known = append(c.known, hoist.WorkerEntry{Worker: id, Service: "lids", Addr: string(id), Capacity: size, Class: "a"})
	}
	c.book = sched.NewBook(1, start)
	c.book.SetWorkers(c.known, c.now)
	return c
}

// TestSurvey guards against a new owner that crowds the tasks on the few workers
// that answered first, and asks advisers about no others.
func TestSurvey(t *testing.T) {
	t.Run("few workers seen", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", advised, step(4))
		c.view("w00", hoist.WorkerView{Life: 1})
		c.wantStarts(c.pass(), 0)
		c.is.Equal(len(c.asks), 0)
	})
	t.Run("most workers seen", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", queue, step(4))
		for _, e := range c.known[:18] {
			c.view(e.Worker, hoist.WorkerView{Life: 1})
		}
		c.wantStarts(c.pass(), 4)
	})
	t.Run("workers that do not answer", func(t *testing.T) {
		c := listed(t, 20)
		c.submit("p", queue, step(4))
		c.now = c.now.Add(500 * time.Millisecond)
		c.view("w00", hoist.WorkerView{Life: 1})
		c.wantStarts(c.pass(), 4)
	})
}
