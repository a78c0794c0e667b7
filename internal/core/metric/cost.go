package metric

import (
	"runtime"
	"sync"
	"syscall"
	"time"

	hoist "fuchsiahoist.example/hoist"
)

// Cost measures the cost of control on this host: processor time, memory and
// messages. The zero value is ready to use; its methods may be called concurrently.
type Cost struct {
	mu        sync.Mutex
	sampledAt time.Time
	cpu       time.Duration
	messages  uint64
	last      hoist.HostCost
}

// minSamplePeriod is the shortest time over which rates are computed.
const minSamplePeriod = time.Second

// Sample returns the cost over the time since the last sample, or the last sample
// again if that is less than minSamplePeriod ago. messages is the total number of
// messages between hosts so far.
func (c *Cost) Sample(now time.Time, messages uint64) hoist.HostCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	span := now.Sub(c.sampledAt)
	if span < minSamplePeriod {
		return c.last
	}
	cpu := processorTime()
	isFirst := c.sampledAt.IsZero()
	cost := hoist.HostCost{Memory: systemMemory()}
	if !isFirst {
		cost.CPU = hoist.Percent(100 * (cpu - c.cpu).Seconds() / span.Seconds())
		cost.Messages = float64(messages-c.messages) / span.Seconds()
	}
	c.sampledAt, c.cpu, c.messages, c.last = now, cpu, messages, cost
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

// systemMemory returns the memory that the Go runtime has obtained from the system.
func systemMemory() hoist.MiB {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return hoist.MiB(stats.Sys >> 20)
}
