package reporter

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const headerTimeout = 5 * time.Second

// Reporter is an HTTP server for /metrics, /healthz, /readyz and /status.
type Reporter struct {
	Registry *Registry
	// Ready returns the reasons why the instance does not accept clients, none
	// if it does.
	Ready func() []string
	// Status returns the value that /status writes as JSON.
	Status func() any

	once   sync.Once
	server *http.Server
	done   chan struct{}
}

// Start listens on the address, an IP address with a port, and returns the address
// that the listener is bound to.
func (r *Reporter) Start(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for metrics")
	}
	r.server = &http.Server{Handler: r.Handler(), ReadHeaderTimeout: headerTimeout}
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		_ = r.server.Serve(listener) // Ends with ErrServerClosed on Close.
	}()
	return listener.Addr(), nil
}

// Close stops the server and waits until its goroutine has ended.
func (r *Reporter) Close() {
	r.once.Do(func() {
		if r.server != nil {
			_ = r.server.Close()
			<-r.done
		}
	})
}

// Handler returns the handler of all endpoints, which Start serves.
func (r *Reporter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		reasons := r.Ready()
		status := http.StatusOK
		if len(reasons) > 0 {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, map[string]any{"ready": len(reasons) == 0, "reasons": reasons})
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Status())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = r.Registry.WriteTo(w)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
