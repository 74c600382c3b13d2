package backendserver

import (
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// responseWriter sends messages to the client. While it records, it keeps the
// bytes of the current response, so that they can be sent a second time.
type responseWriter struct {
	conn      io.Writer
	recording bool
	repeat    bool // The next Write ends the response and sends it again.
	response  []byte
}

// Write implements [io.Writer].
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.recording {
		return w.conn.Write(b)
	}
	w.response = append(w.response, b...)
	if !w.repeat {
		return w.conn.Write(b)
	}
	_, err := w.conn.Write(slices.Concat(b, w.response))
	return len(b), err
}

// recordResponse starts recording the response to a statement that the fault
// RepeatResponses applies to.
func (ss *session) recordResponse(sql string) {
	s := ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RepeatResponses > 0 && strings.Contains(sql, s.faults.RepeatSQL) {
		ss.writer.recording = true
	}
}

// flushResponse sends the end of a response. It sends a recorded response again,
// or keeps it until the next message of the client arrives.
func (ss *session) flushResponse() error {
	s, w := ss.server, &ss.writer
	if !w.recording {
		return ss.flush()
	}
	s.mu.Lock()
	repeat, late := s.faults.RepeatResponses > 0, s.faults.RepeatLate
	if repeat {
		s.faults.RepeatResponses--
	}
	s.mu.Unlock()
	w.repeat = repeat && !late
	err := ss.flush()
	if repeat && late {
		ss.lateResponse = w.response
	}
	*w = responseWriter{conn: w.conn}
	return err
}

// sendLateResponse sends a response that was kept for a late repetition.
func (ss *session) sendLateResponse() error {
	if ss.lateResponse == nil {
		return nil
	}
	_, err := ss.writer.Write(ss.lateResponse)
	ss.lateResponse = nil
	return errors.Wrapf(err, "connection %d: repeat response", ss.pid)
}
