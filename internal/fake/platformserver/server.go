package platformserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxValue is the maximum size of an object's value in bytes.
const MaxValue = 1 << 20

// maxWatchWait bounds how long a watch is held open (long polling).
const maxWatchWait = time.Minute

// Counters holds the number of received calls by kind. A watch counts once,
// however long it is held open.
type Counters struct {
	Read  uint64 `json:"read"`
	Write uint64 `json:"write"`
	Watch uint64 `json:"watch"`
	List  uint64 `json:"list"`
}

// Server is an HTTP server of the platform's API. The zero value is ready for
// Start.
type Server struct {
	// ListLag is the delay until a change of the instance list is visible.
	ListLag time.Duration
	// Listen opens the listener of an address; nil selects TCP.
	Listen func(address string) (net.Listener, error)

	store         store
	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed when the faults change
	counters      Counters
	address       string         // host and port of the listener
	http          *http.Server   // nil while connections are refused
	done          chan struct{}  // nil before Start, closed by Close
	running       sync.WaitGroup // calls and the accept loop
}

// Start listens on the address, serves in the background until Close, and
// returns the listener's actual address.
func (s *Server) Start(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done != nil {
		return "", errors.Errorf("platform server is already started, cannot listen on %s", address)
	}
	s.done = make(chan struct{})
	return s.listen(address)
}

// listen opens the listener and serves it. SetFaults calls it with the former
// address to accept connections again. The caller holds s.mu.
func (s *Server) listen(address string) (string, error) {
	open := s.Listen
	if open == nil {
		open = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	ln, err := open(address)
	if err != nil {
		return "", errors.Wrap(err, "platform server")
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("/v1/", s.handler())
	mux.Handle("/control/", s.ControlHandler())
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	s.running.Add(1)
	go func(h *http.Server) {
		defer s.running.Done()
		_ = h.Serve(ln)
	}(s.http)
	return s.address, nil
}

// Close closes all connections and waits for the server's goroutines.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.done == nil {
		s.mu.Unlock()
		return nil
	}
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	h := s.http
	s.mu.Unlock()
	var err error
	if h != nil {
		err = h.Close()
	}
	s.running.Wait()
	return err
}

// SetInstances replaces the list of instances. The new list is visible to
// callers after ListLag.
func (s *Server) SetInstances(instances ...Instance) {
	s.store.setInstances(instances, time.Now().Add(s.ListLag))
}

// Counters returns the number of calls received so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withFaults(&s.counters.Read, s.getObject))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withFaults(&s.counters.Write, s.putObject))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withFaults(&s.counters.Write, s.deleteObject))
	mux.HandleFunc("GET /v1/objects/{kind}", s.withFaults(&s.counters.List, s.listObjects))
	mux.HandleFunc("GET /v1/watch", s.withFaults(&s.counters.Watch, s.watch))
	mux.HandleFunc("GET /v1/instances", s.withFaults(&s.counters.List, s.listInstances))
	mux.HandleFunc("GET /v1/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	return mux
}

// response is the result of a handler. An injected fault can prevent it from
// being sent.
type response struct {
	status int
	body   any
}

func errorResponse(status int, text string) response {
	return response{status, map[string]string{"error": text}}
}

func (s *Server) getObject(r *http.Request) response {
	o, ok := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		return errorResponse(http.StatusNotFound, "no such object")
	}
	return response{http.StatusOK, o}
}

func (s *Server) putObject(r *http.Request) response {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "body is incomplete")
	}
	if len(value) > MaxValue {
		return errorResponse(http.StatusRequestEntityTooLarge, "value is over 1 MB")
	}
	if !json.Valid(value) {
		return errorResponse(http.StatusBadRequest, "value is not JSON")
	}
	return s.updateObject(r, value)
}

func (s *Server) deleteObject(r *http.Request) response { return s.updateObject(r, nil) }

// updateObject stores a value, or deletes the object if the value is nil, on the
// condition that the object has the version given by if_version.
func (s *Server) updateObject(r *http.Request, value json.RawMessage) response {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "if_version is missing or not a number")
	}
	o, ok := s.store.put(r.PathValue("kind"), r.PathValue("name"), value, ifVersion)
	if !ok {
		return response{http.StatusConflict, map[string]any{"error": "version differs", "version": o.Version}}
	}
	o.Value = nil
	return response{http.StatusOK, o}
}

// listResponse is the response body of lists and watches.
type listResponse struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

func (s *Server) listObjects(r *http.Request) response {
	objects, revision, _ := s.store.list(r.PathValue("kind"), 0, false)
	return response{http.StatusOK, listResponse{revision, objects}}
}

func (s *Server) watch(r *http.Request) response {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if afterErr != nil || waitErr != nil || q.Get("kind") == "" {
		return errorResponse(http.StatusBadRequest, "watch needs kind, after and wait_ms")
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer cancel()
	for {
		objects, revision, changed := s.store.list(q.Get("kind"), after, true)
		if len(objects) > 0 {
			return response{http.StatusOK, listResponse{revision, objects}}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return response{http.StatusOK, listResponse{revision, objects}}
		}
	}
}

func (s *Server) listInstances(*http.Request) response {
	return response{http.StatusOK, s.store.visibleInstances(time.Now())}
}

// write sends the response. A read whose If-None-Match header (RFC 9110) has the
// entity tag of this response gets status 304 without a body.
func (resp response) write(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(resp.body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet && resp.status == http.StatusOK {
		tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(data))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
