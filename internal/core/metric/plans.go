package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	hoist "fuchsiahoist.example/hoist"
)

// Plans is the metrics of a host that schedules plans.
type Plans struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	took     *prometheus.HistogramVec
	starts   *prometheus.CounterVec
	ends     *prometheus.CounterVec
	waits    *prometheus.HistogramVec
}

// NewPlans returns the metrics of a host. dropped is read when they are
// collected.
func NewPlans(dropped func() uint64) *Plans {
	p := &Plans{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_answers_total", Help: "Answers to clients, by method and status.",
		}, []string{"method", "status"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_answer_seconds", Help: "Time to answer a client, by method.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"method"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_starts_total", Help: "Starts sent to workers, by outcome.",
		}, []string{"outcome"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_ends_total", Help: "Ends of attempts that workers listed, by kind.",
		}, []string{"kind"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_plan_wait_seconds", Help: "Time from the acceptance of a plan to its first start, by queue.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"queue"}),
	}
	lost := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hoist_log_lines_dropped_total", Help: "Log lines that found the buffer full.",
	}, func() float64 { return float64(dropped()) })
	p.registry.MustRegister(p.answers, p.took, p.starts, p.ends, p.waits, lost, collectors.NewGoCollector())
	return p
}

// Answered counts an answer to a client.
func (p *Plans) Answered(method string, status int, took time.Duration) {
	p.answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
	p.took.WithLabelValues(method).Observe(took.Seconds())
}

// Start counts a start by its outcome.
func (p *Plans) Start(outcome string) {
	p.starts.WithLabelValues(outcome).Inc()
}

// End counts the end of an attempt.
func (p *Plans) End(kind hoist.EndKind) {
	p.ends.WithLabelValues(string(kind)).Inc()
}

// Waited notes how long a plan waited for its first start.
func (p *Plans) Waited(queue hoist.QueueName, d time.Duration) {
	p.waits.WithLabelValues(string(queue)).Observe(d.Seconds())
}

// Handler serves the metrics.
func (p *Plans) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
