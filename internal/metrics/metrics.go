// Package metrics offers the agent's counters and gauges to whoever scrapes them, by a metrics library. It must never
// label by txn, key or client, nor decide anything.
package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Table is [metrics].
type Table struct {
	Listen string `toml:"listen" comment:"where they are scraped, at /metrics; empty: nowhere"`
}

// Default is off.
func Default() Table { return Table{} }

// Check looks for what can't be.
func (t Table) Check(wrong func(key string, value any, what, right string)) {
	if t.Listen == "" {
		return
	}
	if _, _, err := net.SplitHostPort(t.Listen); err != nil {
		wrong("metrics.listen", t.Listen, err.Error(), `"127.0.0.1:9464"`)
	}
}

// Meter holds an agent's metrics.
type Meter struct{ set *metrics.Set }

// New makes one without metrics.
func New() *Meter { return &Meter{metrics.NewSet()} }

// Gauge and Count add a metric that is asked for at each scrape; what only grows is a count, its name ends in _total.
func (m *Meter) Gauge(name string, now func() float64) { m.set.NewGauge(name, now) }

// Serve listens until ctx ends. A listener that can't be had is logged: no agent fails for want of being seen.
func (m *Meter) Serve(ctx context.Context, t Table) {
	if t.Listen == "" {
		return
	}
	l, err := net.Listen("tcp", t.Listen)
	if err != nil {
		logrus.WithError(err).Error("metrics listener failed")
		return
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Second, IdleTimeout: 30 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/metrics" || r.Method != http.MethodGet {
				http.NotFound(w, r)
				return
			}
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			m.set.WritePrometheus(w)
			metrics.WriteProcessMetrics(w)
		}),
	}
	context.AfterFunc(ctx, func() { server.Close() })
	logrus.WithField("listen", l.Addr().String()).Info("metrics listening")
	server.Serve(l)
}
