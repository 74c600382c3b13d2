package platformserver

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Values of Faults.Down.
const (
	DownRefuse      = "refuse"      // connections are refused
	DownUnavailable = "unavailable" // calls get status 503
)

// Faults selects the injected faults. The zero value is a healthy platform.
type Faults struct {
	// Down is DownRefuse, DownUnavailable, or empty while the platform is up.
	Down string `json:"down"`
	// SlowMS is the delay before every call is handled, in milliseconds. A write
	// takes effect after the delay even if its caller has disconnected by then.
	SlowMS int `json:"slow_ms"`
	// LoseAnswer applies every write, then closes its connection without a
	// response.
	LoseAnswer bool `json:"lose_answer"`
	// Silent accepts connections and calls and never responds.
	Silent bool `json:"silent"`
	// CutInstances and CutDataCentres are the callers that are cut off: their
	// calls get no response and have no effect. The data centre of a caller is
	// that of its entry in the instance list.
	CutInstances   []string `json:"cut_instances"`
	CutDataCentres []string `json:"cut_data_centres"`
}

// SetFaults replaces the injected faults. Calls that an earlier fault left
// without a response never get one.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down != "" && f.Down != DownRefuse && f.Down != DownUnavailable {
		return errors.Errorf("unknown way of being down %.20q", f.Down)
	}
	s.faults = f
	if s.faultsChanged != nil {
		close(s.faultsChanged)
		s.faultsChanged = nil
	}
	if s.done == nil {
		return nil
	}
	if f.Down == DownRefuse && s.http != nil {
		h := s.http
		s.http = nil
		return errors.Wrap(h.Close(), "stop listening")
	}
	if f.Down != DownRefuse && s.http == nil {
		_, err := s.listen(s.address)
		return err
	}
	return nil
}

// isCutOff reports whether the current faults withhold the response from the
// caller of a request: by Silent, by its instance or by its data centre.
func (s *Server) isCutOff(r *http.Request) bool {
	id := r.Header.Get("Instance-Id")
	dataCentre := s.store.currentDataCentre(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	return f.Silent || slices.Contains(f.CutInstances, id) ||
		dataCentre != "" && slices.Contains(f.CutDataCentres, dataCentre)
}

// withFaults wraps a handler: it counts the call and applies the injected
// faults. A caller that is cut off while its call is handled gets no response.
func (s *Server) withFaults(count *uint64, handle func(*http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := readBody(r); err != nil {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		select {
		case <-s.done:
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		default:
		}
		s.running.Add(1)
		defer s.running.Done()
		*count++
		f := s.faults
		s.mu.Unlock()
		if s.isCutOff(r) {
			s.waitForDisconnect(r)
		}
		if !s.delay(r, time.Duration(f.SlowMS)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		if f.Down != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		resp, cutOff := s.handleTrackingCutOff(r, handle)
		s.mu.Lock()
		dropResponse := s.faults.LoseAnswer && r.Method != http.MethodGet
		s.mu.Unlock()
		if dropResponse {
			panic(http.ErrAbortHandler)
		}
		if cutOff || s.isCutOff(r) {
			s.waitForDisconnect(r)
		}
		resp.write(w, r)
	}
}

// handleTrackingCutOff runs the handler and reports whether the caller was cut
// off at any time while it ran. A watch can run for long; its response is lost
// even if the caller is reachable again when the watch ends.
func (s *Server) handleTrackingCutOff(r *http.Request, handle func(*http.Request) response) (response, bool) {
	var cutOff atomic.Bool
	handled := make(chan struct{})
	observerDone := make(chan struct{})
	go func() {
		defer close(observerDone)
		for {
			s.mu.Lock()
			if s.faultsChanged == nil {
				s.faultsChanged = make(chan struct{})
			}
			changed := s.faultsChanged
			s.mu.Unlock()
			if s.isCutOff(r) {
				cutOff.Store(true)
			}
			select {
			case <-changed:
			case <-handled:
				return
			}
		}
	}()
	resp := handle(r)
	close(handled)
	<-observerDone
	return resp, cutOff.Load()
}

// readBody buffers the body, so that the call can continue after its caller has
// disconnected. It reads to the end even beyond the size limit, because closing
// the connection with unread data could discard the response.
func readBody(r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// waitForDisconnect blocks until the caller disconnects or the server closes,
// and ends the call without a response.
func (s *Server) waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}

// delay waits for a duration and reports whether the call is to continue. The
// server's Close ends it early, and so does the disconnect of a reading caller;
// a write continues without its caller.
func (s *Server) delay(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	callerGone := r.Context().Done()
	if r.Method != http.MethodGet {
		callerGone = nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-callerGone:
		return false
	case <-s.done:
		return false
	}
}

// ControlHandler returns the handler of POST /control/faults and POST
// /control/instances. The main address serves it too, except while connections
// are refused.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		err := json.NewDecoder(r.Body).Decode(&f)
		if err == nil && f.Down == DownRefuse {
			// Respond first: DownRefuse closes every connection, this one included.
			writeJSON(w, f)
			_ = http.NewResponseController(w).Flush()
		}
		if err == nil {
			err = s.SetFaults(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /control/instances", func(w http.ResponseWriter, r *http.Request) {
		var instances []Instance
		if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetInstances(instances...)
	})
	return mux
}
