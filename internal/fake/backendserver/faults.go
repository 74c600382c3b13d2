package backendserver

import "slices"

// dataCentreSetting is the startup parameter in which a client states its data
// centre.
const dataCentreSetting = "oleanderpulley.data_centre"

// Faults are the injected faults. The zero value means a healthy server.
type Faults struct {
	// Paused freezes the process: the kernel still accepts connections, but
	// nothing is answered, sent, applied or committed until Paused is false.
	Paused bool `json:"paused"`
	// SlowMS is added to the run time of every statement, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseCommits is the number of next commits with changes after which the
	// connection is reset, so that the client gets no response although the
	// commit took effect. It decreases with each of them.
	LoseCommits int `json:"lose_commits"`
	// RepeatResponses is the number of next responses, including their
	// ReadyForQuery, that are sent twice. It decreases with each of them. The
	// second copy follows at once, or with RepeatLate when the next message of
	// the client has arrived. RepeatSQL limits the fault to statements that
	// contain this text.
	RepeatResponses int    `json:"repeat_responses"`
	RepeatLate      bool   `json:"repeat_late"`
	RepeatSQL       string `json:"repeat_sql"`
	// CutClients, CutDataCentres and CutMembers partition the server from
	// others: CutClients lists clients by application_name, CutDataCentres
	// lists clients by the startup parameter oleanderpulley.data_centre and
	// members by their data centre, and CutMembers lists members by ID.
	// Messages in both directions are delayed until the partition ends, and
	// delivered then.
	CutClients     []string `json:"cut_callers"`
	CutDataCentres []string `json:"cut_data_centres"`
	CutMembers     []string `json:"cut_members"`
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if s.stateChanged != nil {
		s.notify()
	}
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// HangOpenConnections makes all open connections permanently unresponsive
// without closing them. New connections are not affected.
func (s *Server) HangOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		ss.silent = true
	}
	s.notify()
}

// isMemberCut reports whether a fault partitions this server from a member. The
// caller must hold s.mu.
func (s *Server) isMemberCut(id, dataCentre string) bool {
	return slices.Contains(s.faults.CutMembers, id) ||
		dataCentre != "" && dataCentre != s.DataCentre && slices.Contains(s.faults.CutDataCentres, dataCentre)
}

// isBlocked reports whether a fault blocks all messages between the server and
// the client of the session. The caller must hold s.mu.
func (s *Server) isBlocked(ss *session) bool {
	f := s.faults
	return f.Paused || ss.silent || slices.Contains(f.CutClients, ss.startupParameters["application_name"]) ||
		slices.Contains(f.CutDataCentres, ss.startupParameters[dataCentreSetting])
}
