package acceptor

import (
	"crypto/sha256"
	"encoding/hex"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/transport/pooler"
)

// prepared is a prepared statement of a session. Named ones go to backend
// servers under a name made of their content, so that sessions that prepare
// the same text share it and others never meet.
type prepared struct {
	name    string // On backend servers; empty for the unnamed statement.
	body    []byte // Of Parse after the name: text, number of types, types.
	key     pooler.StatementKey
	summary classifier.Summary
}

// readBatch reads up to a simple query, Sync or Flush. The frames stay in the
// input buffer until the batch is done.
func (s *session) readBatch(w *work) error {
	offset := 0
	for {
		kind, frame, err := s.in.Next()
		if err != nil {
			return s.badInput(err)
		}
		m := message{kind: kind, from: offset, to: offset + len(frame)}
		offset = m.to
		switch kind {
		case 'P', 'B', 'D', 'E', 'C':
			w.messages = append(w.messages, m)
		case 'Q', 'S', 'H':
			// A server runs what precedes a simple query first.
			if kind == 'Q' && len(w.messages) > 0 {
				s.in.Unread(len(frame))
				w.ended = 'd'
				return nil
			}
			w.messages = append(w.messages, m)
			w.ended = kind
			return nil
		case 'X':
			return errEnded
		case 'd', 'c', 'f':
			// Left over from a COPY that failed, unless a batch waits to be sent.
			if len(w.messages) > 0 {
				s.in.Unread(len(frame))
				w.ended = 'd'
				return nil
			}
			s.in.Consume()
			return s.skipStray(w)
		default:
			return refuser.New(refuser.Protocol, "unexpected message type")
		}
	}
}

// skipStray starts over after a stray COPY message.
func (s *session) skipStray(w *work) error {
	if err := s.await(); err != nil {
		return err
	}
	return s.readBatch(w)
}

// plan reads the messages of the batch and sums up what it needs.
func (s *session) plan(w *work) error {
	w.settings = s.settings
	kept := s.in.Kept()
	for i := range w.messages {
		m := &w.messages[i]
		body := kept[m.from+framer.HeaderSize : m.to]
		var err error
		switch m.kind {
		case 'Q':
			err = s.planQuery(w, m, body)
		case 'P':
			err = s.planParse(w, m, body)
		case 'B':
			err = s.planBind(w, m, body)
		case 'D', 'C':
			err = s.planNamed(w, m, body)
		case 'E':
			if w.own == 0 {
				w.class = max(w.class, classifier.Read)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *session) planQuery(w *work, m *message, body []byte) error {
	sql, rest, ok := framer.CutText(body)
	if !ok || len(rest) > 0 {
		return refuser.New(refuser.Protocol, "malformed query message")
	}
	summary := classifier.Classify(sql)
	s.unnamed = nil // A simple query drops the unnamed statement.
	return s.add(w, m, &summary)
}

// planParse enters the statement into the session at once, because later
// messages of the batch use it. An error takes it out again.
func (s *session) planParse(w *work, m *message, body []byte) error {
	name, rest, ok := framer.CutText(body)
	sql, types, ok2 := framer.CutText(rest)
	if !ok || !ok2 || len(types) < 2 {
		return refuser.New(refuser.Protocol, "malformed Parse message")
	}
	p := &prepared{body: append([]byte(nil), rest...)}
	p.summary = classifier.Classify(p.body[:len(sql)])
	m.stmt = p
	if p.summary.Own == nil {
		w.class = max(w.class, classifier.Read)
	}
	if len(name) == 0 {
		s.unnamed = p
		return nil
	}
	sum := sha256.Sum256(p.body)
	copy(p.key[:], sum[:])
	p.name = "op_" + hex.EncodeToString(p.key[:])
	if s.prepared[string(name)] != nil {
		return &refuser.RefusalError{Case: refuser.StatementExists}
	}
	if s.prepared == nil {
		s.prepared = map[string]*prepared{}
	}
	if len(s.prepared) >= statementLimit || s.preparedBytes+len(p.body) > statementBytes {
		return refuser.New(refuser.Unsupported, "too many prepared statements in one session")
	}
	s.prepared[string(name)] = p
	s.preparedBytes += len(p.body)
	w.registered = append(w.registered, string(name))
	return nil
}

// Bounds of the memory of a session's prepared statements.
const (
	statementLimit = 5000
	statementBytes = 8 << 20
)

// forgetStatement drops a named statement of the session.
func (s *session) forgetStatement(name string) {
	if p := s.prepared[name]; p != nil {
		s.preparedBytes -= len(p.body)
		delete(s.prepared, name)
	}
}

func (s *session) planBind(w *work, m *message, body []byte) error {
	_, rest, ok := framer.CutText(body)
	name, _, ok2 := framer.CutText(rest)
	if !ok || !ok2 {
		return refuser.New(refuser.Protocol, "malformed Bind message")
	}
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	m.stmt = p
	return s.add(w, m, &p.summary)
}

// planNamed reads a Describe or Close message.
func (s *session) planNamed(w *work, m *message, body []byte) error {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return refuser.New(refuser.Protocol, "malformed Describe or Close message")
	}
	if body[0] != 'S' {
		if m.kind == 'D' && w.own == 0 {
			w.class = max(w.class, classifier.Read)
		}
		return nil
	}
	name := body[1 : len(body)-1]
	if m.kind == 'C' {
		if len(name) == 0 {
			s.unnamed = nil
		}
		s.forgetStatement(string(name))
		return nil
	}
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	m.stmt = p
	w.class = max(w.class, classifier.Read)
	if p.summary.Own != nil {
		m.own = p.summary.Own
		w.own++
	}
	return nil
}

func (s *session) lookup(name []byte) (*prepared, error) {
	p := s.unnamed
	if len(name) > 0 {
		p = s.prepared[string(name)]
	}
	if p == nil {
		return nil, refuser.New(refuser.UnknownStatement, "")
	}
	return p, nil
}

// add sums up a statement that the batch runs.
func (s *session) add(w *work, m *message, sum *classifier.Summary) error {
	if sum.Mixed {
		return refuser.New(refuser.Unsupported, "a setting of the proxy among other statements")
	}
	w.class = max(w.class, sum.Class)
	w.count += max(sum.Count, 1)
	w.begin = w.begin || sum.Begin
	w.readOnly = sum.ReadOnly && w.count == 1
	w.end = w.end || sum.End
	w.savepoint = w.savepoint || sum.Savepoint
	if sum.Own != nil && (!s.pinned || sum.Own.Verb != classifier.Forget) {
		m.own = sum.Own
		w.own++
	} else {
		w.state = w.state || sum.State
	}
	if len(sum.Hints) == 0 {
		return nil
	}
	var err error
	w.settings, err = s.withHints(sum.Hints, w.settings)
	return err
}

// unregister takes statements out again that the batch added and that no
// backend server has accepted.
func (s *session) unregister(w *work) {
	for _, name := range w.registered {
		s.forgetStatement(name)
	}
	w.registered = w.registered[:0]
}
