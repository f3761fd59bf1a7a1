// Package metrics offers an instance's counters and gauges to a scraper, by a metrics library. It never labels by
// request, key or client, and decides nothing.
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

// Config is the table [metrics] of our settings.
type Config struct {
	Listen string `toml:"listen" comment:"where they are scraped, at /metrics; empty: nowhere"`
}

// DefaultConfig returns what holds without settings: no listener.
func DefaultConfig() Config { return Config{} }

// Validate reports an address that can't be: its key, what is wrong and a right example.
func (c Config) Validate(report func(key string, value any, what, right string)) {
	if c.Listen == "" {
		return
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		report("metrics.listen", c.Listen, err.Error(), `"127.0.0.1:9464"`)
	}
}

// Meter holds an instance's metrics.
type Meter struct{ set *metrics.Set }

// New returns a meter without metrics.
func New() *Meter { return &Meter{metrics.NewSet()} }

// Gauge adds a metric, its name with its labels, whose value is asked for at each scrape, by any goroutine. The name of what
// only grows ends in _total. A name that is there already panics.
func (m *Meter) Gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

const (
	headerTimeout = time.Second
	idleTimeout   = 30 * time.Second
)

// Serve offers the metrics until the context ends; it returns at once where no listener is configured. A listener that can't be
// had is logged: no instance fails for want of being seen.
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
