package backendserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ControlHandler returns the handler of the control endpoint. The endpoint is
// separate from the SQL port, so that it also works while the SQL port does
// not:
//
//   - GET /control/status, /control/logins, /control/records?after=SEQUENCE
//   - POST /control/faults with [Faults]
//   - POST /control/silence, /control/kill?keep=true, /control/restart
//   - POST /control/load with {"receive_lag_ms", "apply_lag_ms", "service_time_ms"}
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	mux.HandleFunc("GET /control/logins", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Logins()) })
	mux.HandleFunc("GET /control/records", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		list := s.Records()
		for len(list) > 0 && list[0].Sequence <= after {
			list = list[1:]
		}
		writeJSON(w, list)
	})
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decodeBody(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /control/silence", func(http.ResponseWriter, *http.Request) { s.HangOpenConnections() })
	mux.HandleFunc("POST /control/kill", func(w http.ResponseWriter, r *http.Request) {
		writeConflict(w, s.Kill(r.URL.Query().Get("keep") != "false"))
	})
	mux.HandleFunc("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) { writeConflict(w, s.Restart()) })
	mux.HandleFunc("POST /control/load", func(w http.ResponseWriter, r *http.Request) {
		var load struct {
			ReceiveLagMS  int `json:"receive_lag_ms"`
			ApplyLagMS    int `json:"apply_lag_ms"`
			ServiceTimeMS int `json:"service_time_ms"`
		}
		if decodeBody(w, r, &load) {
			s.SetLag(time.Duration(load.ReceiveLagMS)*time.Millisecond, time.Duration(load.ApplyLagMS)*time.Millisecond)
			s.SetServiceTime(time.Duration(load.ServiceTimeMS) * time.Millisecond)
		}
	})
	return mux
}

// decodeBody decodes a JSON request. For invalid JSON or an unknown field it
// responds with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeConflict responds with status 409 if there is an error.
func writeConflict(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
