package backendserver

import (
	"slices"
	"time"
)

// Record describes one statement that the server ran. Group statements are not
// recorded.
type Record struct {
	Sequence    uint64    `json:"sequence"`
	Server      string    `json:"server"`
	Incarnation string    `json:"incarnation"`
	Connection  uint32    `json:"connection"`
	Workspace   string    `json:"workspace"`
	SQL         string    `json:"sql"`
	Arguments   []*string `json:"arguments,omitempty"`
	At          time.Time `json:"at"`
	SQLState    string    `json:"sqlstate,omitempty"` // of the error, if the statement failed
	// Committed reports whether the transaction of the statement was committed.
	// Term is the term of the server at the commit, and End is the log offset
	// after the changes (0 for a transaction without changes).
	Committed bool   `json:"committed"`
	Term      uint64 `json:"term"`
	End       uint64 `json:"end"`
}

// Login contains what a client sent to open a connection.
type Login struct {
	Connection uint32            `json:"connection"`
	User       string            `json:"user"`
	Database   string            `json:"database"`
	Password   string            `json:"password"`
	Parameters map[string]string `json:"parameters"`
}

// Records returns the recorded statements, oldest first.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Record, len(s.records))
	for i, r := range s.records {
		list[i] = *r
	}
	return list
}

// Logins returns all login attempts since the server was created, including
// rejected ones.
func (s *Server) Logins() []Login {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.logins)
}

// addRecord records a statement before it runs.
func (s *Server) addRecord(ss *session, sql string, args []value) *Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRecord++
	r := &Record{
		Sequence: s.lastRecord, Server: s.ID, Incarnation: s.incarnation, Connection: ss.pid,
		Workspace: ss.settings["oleanderpulley.workspace"], SQL: sql, Arguments: slices.Clone(args), At: time.Now(),
	}
	limit := s.MaxRecords
	if limit <= 0 {
		limit = 1 << 18
	}
	if len(s.records) >= limit {
		s.records = slices.Delete(s.records, 0, len(s.records)-limit/2)
	}
	s.records = append(s.records, r)
	return r
}
