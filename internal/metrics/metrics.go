// Package metrics serves an instance's counters and gauges in the Prometheus text format. Labels must not contain
// request IDs, keys or clients.
package metrics

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Config is the table [metrics] of the settings.
type Config struct {
	Listen string `toml:"listen" comment:"address that serves /metrics; empty: metrics are not served"`
}

// DefaultConfig returns the defaults: no listener.
func DefaultConfig() Config { return Config{} }

// Validate calls report if the listen address is invalid, with its key, its value, the reason and a valid example.
func (c Config) Validate(report func(key string, value any, reason, example string)) {
	if c.Listen == "" {
		return
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		report("metrics.listen", c.Listen, err.Error(), `"127.0.0.1:9464"`)
	}
}

// Meter is the set of an instance's metrics.
type Meter struct{ set *metrics.Set }

// New returns an empty Meter.
func New() *Meter { return &Meter{metrics.NewSet()} }

// Gauge registers a metric. The name includes the labels; names of counters end in _total. Each scrape calls value,
// which must be safe for concurrent use. Gauge panics if the name is registered already.
func (m *Meter) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

const (
	headerTimeout = time.Second
	idleTimeout   = 30 * time.Second
)

// Serve serves the metrics until the context is canceled. It returns immediately if no listen address is configured. A
// failing listener is only logged, because an instance must not fail for lack of monitoring.
func (m *Meter) Serve(ctx context.Context, c Config) {
	if c.Listen == "" {
		return
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		logrus.WithError(err).Error("metrics listener failed")
		return
	}
	server := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(m.handle)}
	context.AfterFunc(ctx, func() { server.Close() })
	logrus.WithField("listen", listener.Addr().String()).Info("metrics listening")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logrus.WithError(err).Error("metrics listener failed")
	}
}

func (m *Meter) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
