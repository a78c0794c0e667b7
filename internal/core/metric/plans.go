package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/gate"
	"fuchsiahoist.example/hoist/internal/core/guard"
	"fuchsiahoist.example/hoist/internal/decide/admit"
)

// PlanMetrics holds the metrics of a host that schedules plans.
type PlanMetrics struct {
	registry       *prometheus.Registry
	answers        *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	starts         *prometheus.CounterVec
	ends           *prometheus.CounterVec
	presumed       *prometheus.CounterVec
	restarts       *prometheus.CounterVec
	late           *prometheus.CounterVec
	near           *prometheus.CounterVec
	waits          *prometheus.HistogramVec
	panics         *prometheus.CounterVec
	backlog        *prometheus.GaugeVec
	teams          *teamMetrics
	taskWaits      *waitMetrics
	refusedClients *prometheus.CounterVec
	refusedCalls   *prometheus.CounterVec
}

// NewPlans returns the metrics of a host. dropped returns the number of dropped log
// lines; it is called whenever the metrics are collected.
func NewPlans(dropped func() uint64) *PlanMetrics {
	p := &PlanMetrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_answers_total", Help: "Answers to clients, by method and status.",
		}, []string{"method", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_answer_seconds", Help: "Time to answer a client, by method.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"method"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_starts_total", Help: "Starts sent to workers, by outcome.",
		}, []string{"outcome"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_ends_total", Help: "Ends of attempts that workers reported, by kind.",
		}, []string{"kind"}),
		presumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_presumed_ends_total", Help: "Attempts that count as ended although no worker listed their end, by reason.",
		}, []string{"why"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_late_signs_total", Help: "Attempts that counted as ended and that a worker listed afterwards, by reason and state.",
		}, []string{"why", "state"}),
		restarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_worker_restarts_total", Help: "Restarts of workers under their ids, by what showed them.",
		}, []string{"sign"}),
		near: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_near_waits_total", Help: "Steps that waited for a placement near their data or on one rack: begun, and how the waits ended.",
		}, []string{"what"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_plan_wait_seconds", Help: "Time from the acceptance of a plan to its first start, by queue.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"queue"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_panics_total", Help: "Panics, by the kind of work that they ended.",
		}, []string{"work"}),
		backlog: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "hoist_backlog", Help: "What the owner of the cell holds: open tasks, delayed occurrences and quarantined plans.",
		}, []string{"kind"}),
		refusedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_refused_calls_total", Help: "Calls of clients refused because of their key, by cause.",
		}, []string{"cause"}),
	}
	p.refusedClients = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hoist_refused_clients_total", Help: "Clients that were refused or whose connection was closed, by port and cause.",
	}, []string{"port", "cause"})
	droppedLines := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hoist_log_lines_dropped_total", Help: "Log lines dropped because the buffer was full.",
	}, func() float64 { return float64(dropped()) })
	p.registry.MustRegister(
		p.answers, p.latency, p.starts, p.ends, p.presumed, p.late, p.restarts, p.near, p.waits, p.panics, p.backlog,
		p.refusedCalls, p.refusedClients, droppedLines, collectors.NewGoCollector(),
	)
	p.teams = newTeamMetrics(p.registry)
	p.taskWaits = newWaitMetrics(p.registry)
	return p
}

// RecordAnswer counts an answer to a client and records its latency.
func (p *PlanMetrics) RecordAnswer(method string, status int, latency time.Duration) {
	p.answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
	p.latency.WithLabelValues(method).Observe(latency.Seconds())
}

// RecordStart counts a start that was sent to a worker, by its outcome.
func (p *PlanMetrics) RecordStart(outcome string) {
	p.starts.WithLabelValues(outcome).Inc()
}

// RecordEnd counts the end of an attempt, by its kind.
func (p *PlanMetrics) RecordEnd(kind hoist.EndKind) {
	p.ends.WithLabelValues(string(kind)).Inc()
}

// RecordPresumedEnd counts an attempt that counts as ended without a listed end.
func (p *PlanMetrics) RecordPresumedEnd(reason string) {
	p.presumed.WithLabelValues(reason).Inc()
}

// RecordLateSign implements hoist.PlanMetrics.
func (p *PlanMetrics) RecordLateSign(reason, state string) {
	p.late.WithLabelValues(reason, state).Inc()
}

// RecordRestart implements hoist.PlanMetrics.
func (p *PlanMetrics) RecordRestart(sign string) {
	p.restarts.WithLabelValues(sign).Inc()
}

// RecordNearWaits implements hoist.PlanMetrics.
func (p *PlanMetrics) RecordNearWaits(begun, near, remote uint64) {
	p.near.WithLabelValues("begun").Add(float64(begun))
	p.near.WithLabelValues("near").Add(float64(near))
	p.near.WithLabelValues("remote").Add(float64(remote))
}

// ObserveWait records the time from the acceptance of a plan to its first start.
func (p *PlanMetrics) ObserveWait(queue hoist.QueueName, d time.Duration) {
	p.waits.WithLabelValues(string(queue)).Observe(d.Seconds())
}

// SetBacklog implements hoist.PlanMetrics.
func (p *PlanMetrics) SetBacklog(b hoist.PlanBacklog) {
	p.backlog.WithLabelValues("open-tasks").Set(float64(b.OpenTasks))
	p.backlog.WithLabelValues("delayed-occurrences").Set(float64(b.DelayedOccurrences))
	p.backlog.WithLabelValues("quarantined-plans").Set(float64(b.Quarantined))
	p.backlog.WithLabelValues("room-reservations").Set(float64(b.Reservations))
	p.backlog.WithLabelValues("reserved-cores").Set(float64(b.ReservedCPU) / 1000)
}

// RecordRefusal counts a call that was refused because of its key, by the cause.
func (p *PlanMetrics) RecordRefusal(cause string) {
	p.refusedCalls.WithLabelValues(cause).Inc()
}

// RecordRefusedClient counts a client that was refused or whose connection was closed.
func (p *PlanMetrics) RecordRefusedClient(port string, cause gate.Cause) {
	p.refusedClients.WithLabelValues(port, string(cause)).Inc()
}

// ObserveClients registers the usage of a port, which is read whenever the metrics are
// collected.
func (p *PlanMetrics) ObserveClients(port string, usage func() (conns int, held admit.Bytes)) {
	labels := prometheus.Labels{"port": port}
	p.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hoist_client_connections", Help: "Open connections of clients, by port.", ConstLabels: labels,
		}, func() float64 { conns, _ := usage(); return float64(conns) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "hoist_client_bytes", Help: "Memory reserved for requests of clients in progress, by port.", ConstLabels: labels,
		}, func() float64 { _, held := usage(); return float64(held) }),
	)
}

// RecordPanic counts a panic that ended a piece of work.
func (p *PlanMetrics) RecordPanic(work guard.Work) {
	p.panics.WithLabelValues(string(work)).Inc()
}

// Handler returns the HTTP handler that serves the metrics.
func (p *PlanMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
