package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Values are read anew at each scrape, and only GET /metrics is served.
func TestHandle(t *testing.T) {
	m, value := New(), 1.0
	m.Gauge(`onyxgate_x_total{reason="a"}`, func() float64 { return value })
	for _, c := range []struct {
		name, method, path string
		value              float64
		status             int
		want               string
	}{
		{"a scrape", http.MethodGet, "/metrics", 1, http.StatusOK, "onyxgate_x_total{reason=\"a\"} 1\n"},
		{"the next one", http.MethodGet, "/metrics", 2.5, http.StatusOK, "onyxgate_x_total{reason=\"a\"} 2.5\n"},
		{"process metrics", http.MethodGet, "/metrics", 1, http.StatusOK, "process_cpu_seconds_total"},
		{"another path", http.MethodGet, "/", 1, http.StatusNotFound, ""},
		{"another method", http.MethodPost, "/metrics", 1, http.StatusNotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			value = c.value
			response := httptest.NewRecorder()
			m.handle(response, httptest.NewRequestWithContext(t.Context(), c.method, c.path, http.NoBody))
			if response.Code != c.status || !strings.Contains(response.Body.String(), c.want) {
				t.Errorf("status %d, want %d; body, which should contain %q:\n%s", response.Code, c.status, c.want, response.Body)
			}
		})
	}
}

func TestValidate(t *testing.T) {
	for _, c := range []struct {
		listen string
		errors int
	}{{"", 0}, {"127.0.0.1:9464", 0}, {":0", 0}, {"here", 1}} {
		t.Run(c.listen, func(t *testing.T) {
			reported := 0
			Config{Listen: c.listen}.Validate(func(key string, _ any, _, _ string) {
				if reported++; key != "metrics.listen" {
					t.Errorf("error reported for key %q, want metrics.listen", key)
				}
			})
			if reported != c.errors {
				t.Errorf("%d errors reported for %q, want %d", reported, c.listen, c.errors)
			}
		})
	}
}
