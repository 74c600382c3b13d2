package administrator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Timeouts of the HTTP server. writeTimeout covers a response that waits for
// another proposal to be settled and then for its own.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	writeTimeout  = 60 * time.Second
	closeTimeout  = 5 * time.Second
)

// Administrator serves the administration API. [New] sets the function fields
// from a distributor.
type Administrator struct {
	Tokens []loader.Token // If empty, every request is refused.
	TLS    *tls.Config    // Required off loopback.
	Logger zerolog.Logger

	Propose func(context.Context, distributor.Submission) (distributor.Result, error)
	// AttemptResult returns false while the attempt has no recorded result.
	AttemptResult func(ctx context.Context, attempt string) (distributor.Result, bool, error)
	// View returns the configuration of this instance, or false before the first
	// one was read.
	View     func() (configurer.View, bool)
	History  func(ctx context.Context, limit int) ([]distributor.Entry, error)
	Document func(context.Context, identifier.ConfigVersion) (*configurer.Document, error)
	Retire   func(context.Context, identifier.DataCentre) error
	Status   func() any

	mu     sync.Mutex
	server *http.Server
	done   chan struct{}
}

// New returns an Administrator that is backed by d.
func New(d *distributor.Distributor) *Administrator {
	return &Administrator{
		Propose: d.Propose, AttemptResult: d.AttemptResult, View: d.View, History: d.History, Document: d.Document, Retire: d.Retire,
		Status: func() any { return d.Status() },
	}
}

// Start listens on an IP address with a port, serves the API in the background
// and returns the bound address. Without TLS it returns an error for an address
// off loopback.
func (a *Administrator) Start(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the address of the administration API")
	}
	bound := listener.Addr()
	if tcp, ok := bound.(*net.TCPAddr); ok && !tcp.IP.IsLoopback() && a.TLS == nil {
		_ = listener.Close()
		return nil, errors.Errorf("address %s of the administration API is not on loopback and has no TLS", bound)
	}
	if a.TLS != nil {
		listener = tls.NewListener(listener, a.TLS)
	}
	server := &http.Server{
		Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server, a.done = server, make(chan struct{})
	go func() {
		defer close(a.done)
		_ = server.Serve(listener) // Returns ErrServerClosed after Close.
	}()
	return bound, nil
}

// Close stops the server and waits for it. Requests in progress get closeTimeout
// to complete; then their connections are closed.
func (a *Administrator) Close() {
	a.mu.Lock()
	server, done := a.server, a.done
	a.server = nil
	a.mu.Unlock()
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
	<-done
}

// Handler returns the HTTP handler of the API, for use without [Administrator.Start].
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]func(*http.Request) (any, error){
		"GET /v1/config":                        a.getConfig,
		"PATCH /v1/config":                      a.patchConfig,
		"GET /v1/config/history":                a.getHistory,
		"POST /v1/config/rollback":              a.rollback,
		"GET /v1/attempts/{id}":                 a.getAttempt,
		"GET /v1/workspaces":                    a.listWorkspaces,
		"PUT /v1/workspaces/{name}":             a.putWorkspace,
		"DELETE /v1/workspaces/{name}":          a.deleteWorkspace,
		"GET /v1/keys":                          a.listKeys,
		"POST /v1/keys":                         a.createKey,
		"DELETE /v1/keys/{id}":                  a.withdrawKey,
		"GET /v1/status":                        a.getStatus,
		"POST /v1/data_centres/{name}/retire":   a.retire,
		"POST /v1/data_centres/{name}/evacuate": a.evacuate,
		"POST /v1/data_centres/{name}/return":   a.returnDataCentre,
	} {
		mux.Handle(pattern, a.authenticated(handle))
	}
	return mux
}
