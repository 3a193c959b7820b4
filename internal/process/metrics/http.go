package metrics

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	readHeaderTimeout    = 5 * time.Second
	writeTimeout         = 30 * time.Second
	idleTimeout          = time.Minute
	maxConcurrentScrapes = 4
)

// Health reports whether a VM is alive and whether it is ready for traffic.
type Health struct {
	VM          string   `json:"vm"`
	Alive       bool     `json:"alive"` // the control goroutine responds
	Ready       bool     `json:"ready"` // alive, has a version, owns slots and is not stopping
	CutOff      bool     `json:"cut_off"`
	Index       uint64   `json:"index"`
	SheetNumber uint64   `json:"sheet_number"`
	Reasons     []string `json:"reasons,omitempty"` // why the VM is not alive, not ready or cut off
}

// NewServer returns a server of /metrics, /healthz and /readyz.
func NewServer(registry *prometheus.Registry, health func() Health) *http.Server {
	return &http.Server{
		Handler:           NewHandler(registry, health),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// NewHandler returns the handler of /metrics, /healthz and /readyz.
func NewHandler(registry *prometheus.Registry, health func() Health) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", NewMetricsHandler(registry))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		h := health()
		writeHealth(w, h, h.Alive)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		h := health()
		writeHealth(w, h, h.Alive && h.Ready)
	})
	return mux
}

// NewMetricsHandler returns the handler of /metrics, which serves all metrics in
// the Prometheus text format.
func NewMetricsHandler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes})
}

func writeHealth(w http.ResponseWriter, h Health, ok bool) {
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have closed the connection, so the error cannot be
	// reported.
	_ = json.NewEncoder(w).Encode(h)
}
