package metric

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	hoist "fuchsiahoist.example/hoist"
)

// waitMetrics holds the metrics of long-running tasks without a run, by what they wait for.
type waitMetrics struct {
	tasks, longest *prometheus.GaugeVec
	// mu keeps two calls of set apart.
	mu sync.Mutex
}

func newWaitMetrics(registry *prometheus.Registry) *waitMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"why"})
	}
	m := &waitMetrics{
		tasks:   gauge("hoist_task_waits", "Long-running tasks without a run, by what they wait for."),
		longest: gauge("hoist_longest_task_wait_seconds", "Longest time that a long-running task has been without a run, by what it waits for."),
	}
	registry.MustRegister(m.tasks, m.longest)
	return m
}

// SetTaskWaits implements hoist.PlanMetrics.
func (p *PlanMetrics) SetTaskWaits(waits []hoist.TaskWaits) {
	m := p.taskWaits
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tasks.Reset()
	m.longest.Reset()
	for _, w := range waits {
		m.tasks.WithLabelValues(string(w.Reason)).Set(float64(w.Tasks))
		m.longest.WithLabelValues(string(w.Reason)).Set(w.Longest.Seconds())
	}
}
