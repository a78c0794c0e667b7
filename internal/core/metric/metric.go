// Package metric provides the metrics of a daemon in a Prometheus registry.
// docs/metrics.md lists them.
//
// # Usage
//
//	m := metric.New(metric.Gauges{Shards: members.OwnedShards})
//	m.RecordAnswer(hoist.Quick, answer)
//	http.Handle("/metrics", m.Handler())
package metric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	hoist "fuchsiahoist.example/hoist"
)

// Gauges holds the functions that return the values of the gauges. They are called
// whenever the metrics are collected. The gauge of a nil function does not exist.
type Gauges struct {
	Shards        func() int
	ConfigVersion func() hoist.ConfigVersion
	TableAge      func() time.Duration
	IsReady       func() bool
}

// DaemonMetrics holds the metrics of one daemon.
type DaemonMetrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	waits    *prometheus.HistogramVec
}

// New returns the metrics of a daemon with the given gauges.
func New(g Gauges) *DaemonMetrics {
	s := &DaemonMetrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_requests_total", Help: "Answers to requests, by class and outcome.",
		}, []string{"class", "outcome"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hoist_request_wait_seconds",
			Help:    "Time from the arrival of a request to its start at an executor.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"class"}),
	}
	s.registry.MustRegister(
		s.requests, s.waits,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	s.gauge("hoist_shards", "Shards that this host acts for.", g.Shards != nil, func() float64 { return float64(g.Shards()) })
	s.gauge("hoist_config_version", "Configuration version in force.", g.ConfigVersion != nil, func() float64 { return float64(g.ConfigVersion()) })
	s.gauge("hoist_table_age_seconds", "Time since the last answer of the table.", g.TableAge != nil, func() float64 { return g.TableAge().Seconds() })
	s.gauge("hoist_ready", "1 if the host accepts callers.", g.IsReady != nil, func() float64 { return boolValue(g.IsReady()) })
	return s
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (s *DaemonMetrics) gauge(name, help string, isUsed bool, read func() float64) {
	if isUsed {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
}

// RecordAnswer counts an answer to a caller. If the request was done, it also records
// how long the request waited.
func (s *DaemonMetrics) RecordAnswer(class hoist.Class, a hoist.Answer) {
	s.requests.WithLabelValues(string(class), string(a.Outcome)).Inc()
	if a.Outcome == hoist.Done {
		s.waits.WithLabelValues(string(class)).Observe(a.Waited.Seconds())
	}
}

// Handler returns the HTTP handler that serves the metrics.
func (s *DaemonMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
