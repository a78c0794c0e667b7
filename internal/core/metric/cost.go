package metric

import (
	"runtime"
	"sync"
	"syscall"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Cost measures what control costs on this host. The zero value is ready to
// use; its methods may be called concurrently.
type Cost struct {
	mu       sync.Mutex
	at       time.Time
	cpu      time.Duration
	messages uint64
	last     hoist.HostCost
}

// minSpan is the shortest span over which rates are computed.
const minSpan = time.Second

// Sample returns the cost over the time since the last sample. messages is the
// number of messages between hosts so far.
func (c *Cost) Sample(now time.Time, messages uint64) hoist.HostCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	span := now.Sub(c.at)
	if span < minSpan {
		return c.last
	}
	cpu := processorTime()
	isFirst := c.at.IsZero()
	cost := hoist.HostCost{Memory: heldMemory()}
	if !isFirst {
		cost.CPU = hoist.Percent(100 * (cpu - c.cpu).Seconds() / span.Seconds())
		cost.Messages = float64(messages-c.messages) / span.Seconds()
	}
	c.at, c.cpu, c.messages, c.last = now, cpu, messages, cost
	return cost
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heldMemory() hoist.MiB {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return hoist.MiB(stats.Sys >> 20)
}
