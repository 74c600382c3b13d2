package acceptor

import (
	"crypto/sha256"
	"encoding/hex"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/transport/pooler"
)

// preparedStatement is a prepared statement of a session. Named statements get
// a name derived from a hash of their content on backend servers: sessions that
// prepare the same text share it, and different texts never collide.
type preparedStatement struct {
	name    string // On backend servers; empty for the unnamed statement.
	body    []byte // The Parse message after the name: SQL text, number of parameter types, types.
	key     pooler.StatementKey
	summary classifier.Summary
}

// readBatch reads messages up to a simple query, Sync or Flush. The frames stay
// in the input buffer until the batch is finished.
func (s *session) readBatch(b *batch) error {
	offset := 0
	for {
		kind, frame, err := s.input.Next()
		if err != nil {
			return s.inputError(err)
		}
		m := message{kind: kind, start: offset, end: offset + len(frame)}
		offset = m.end
		switch kind {
		case 'P', 'B', 'D', 'E', 'C':
			b.messages = append(b.messages, m)
		case 'Q', 'S', 'H':
			// Messages before a simple query run first, as a batch of their
			// own.
			if kind == 'Q' && len(b.messages) > 0 {
				s.input.Unread(len(frame))
				b.terminator = 'd'
				return nil
			}
			b.messages = append(b.messages, m)
			b.terminator = kind
			return nil
		case 'X':
			return errConnectionEnded
		case 'd', 'c', 'f':
			// A message left over from a COPY that failed is dropped. If the
			// batch has messages, the batch ends here and is sent first.
			if len(b.messages) > 0 {
				s.input.Unread(len(frame))
				b.terminator = 'd'
				return nil
			}
			s.input.Consume()
			return s.skipStrayCopyMessage(b)
		default:
			return refuser.New(refuser.Protocol, "unexpected message type")
		}
	}
}

// skipStrayCopyMessage restarts reading the batch after a stray COPY message.
func (s *session) skipStrayCopyMessage(b *batch) error {
	if err := s.awaitInput(); err != nil {
		return err
	}
	return s.readBatch(b)
}

// planBatch parses the messages of the batch and collects what it requires.
func (s *session) planBatch(b *batch) error {
	b.settings = s.settings
	kept := s.input.Retained()
	var bound *message // The last Bind of the batch.
	for i := range b.messages {
		m := &b.messages[i]
		body := kept[m.start+framer.HeaderSize : m.end]
		var err error
		switch m.kind {
		case 'Q':
			err = s.planQuery(b, m, body)
		case 'P':
			err = s.planParse(b, m, body)
		case 'B':
			err = s.planBind(b, m, body)
			bound = m
		case 'D', 'C':
			err = s.planNamed(b, m, body)
		case 'E':
			if b.proxyMessages == 0 {
				b.class = max(b.class, classifier.Read)
			}
			if bound != nil && samePortal(kept[bound.start+framer.HeaderSize:bound.end], body) {
				m.answer = answerTo(&bound.stmt.summary)
			} else {
				b.unbound = true
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *session) planQuery(b *batch, m *message, body []byte) error {
	sql, rest, ok := framer.CutText(body)
	if !ok || len(rest) > 0 {
		return refuser.New(refuser.Protocol, "malformed query message")
	}
	summary := classifier.Classify(sql)
	m.answer = answerTo(&summary)
	s.unnamedStatement = nil // A simple query destroys the unnamed statement.
	return s.addStatement(b, m, &summary)
}

// planParse adds the statement to the session immediately, because later
// messages of the batch may use it. If the server reports an error, the
// statement is removed again.
func (s *session) planParse(b *batch, m *message, body []byte) error {
	name, rest, ok := framer.CutText(body)
	sql, types, ok2 := framer.CutText(rest)
	if !ok || !ok2 || len(types) < 2 {
		return refuser.New(refuser.Protocol, "malformed Parse message")
	}
	p := &preparedStatement{body: append([]byte(nil), rest...)}
	p.summary = classifier.Classify(p.body[:len(sql)])
	m.stmt = p
	if p.summary.ProxyStatement == nil {
		b.class = max(b.class, classifier.Read)
	}
	if len(name) == 0 {
		s.unnamedStatement = p
		return nil
	}
	sum := sha256.Sum256(p.body)
	copy(p.key[:], sum[:])
	p.name = "op_" + hex.EncodeToString(p.key[:])
	if s.prepared[string(name)] != nil {
		return &refuser.RefusalError{Case: refuser.StatementExists}
	}
	if s.prepared == nil {
		s.prepared = map[string]*preparedStatement{}
	}
	if len(s.prepared) >= maxStatements || s.preparedBytes+len(p.body) > maxStatementBytes {
		return refuser.New(refuser.Unsupported, "too many prepared statements in one session")
	}
	s.prepared[string(name)] = p
	s.preparedBytes += len(p.body)
	b.addedStatements = append(b.addedStatements, string(name))
	return nil
}

// Limits on the memory used by the prepared statements of a session.
const (
	maxStatements     = 5000
	maxStatementBytes = 8 << 20
)

// removeStatement removes a named statement from the session.
func (s *session) removeStatement(name string) {
	if p := s.prepared[name]; p != nil {
		s.preparedBytes -= len(p.body)
		delete(s.prepared, name)
	}
}

func (s *session) planBind(b *batch, m *message, body []byte) error {
	_, rest, ok := framer.CutText(body)
	name, _, ok2 := framer.CutText(rest)
	if !ok || !ok2 {
		return refuser.New(refuser.Protocol, "malformed Bind message")
	}
	p, err := s.lookupStatement(name)
	if err != nil {
		return err
	}
	m.stmt = p
	return s.addStatement(b, m, &p.summary)
}

// planNamed parses a Describe or Close message.
func (s *session) planNamed(b *batch, m *message, body []byte) error {
	if len(body) < 2 || body[len(body)-1] != 0 {
		return refuser.New(refuser.Protocol, "malformed Describe or Close message")
	}
	if body[0] != 'S' {
		if m.kind == 'D' && b.proxyMessages == 0 {
			b.class = max(b.class, classifier.Read)
		}
		return nil
	}
	name := body[1 : len(body)-1]
	if m.kind == 'C' {
		if len(name) == 0 {
			s.unnamedStatement = nil
		}
		s.removeStatement(string(name))
		return nil
	}
	p, err := s.lookupStatement(name)
	if err != nil {
		return err
	}
	m.stmt = p
	b.class = max(b.class, classifier.Read)
	if p.summary.ProxyStatement != nil {
		m.proxyStmt = p.summary.ProxyStatement
		b.proxyMessages++
	}
	return nil
}

func (s *session) lookupStatement(name []byte) (*preparedStatement, error) {
	p := s.unnamedStatement
	if len(name) > 0 {
		p = s.prepared[string(name)]
	}
	if p == nil {
		return nil, refuser.New(refuser.UnknownStatement, "")
	}
	return p, nil
}

// addStatement adds the requirements of a statement to those of the batch.
func (s *session) addStatement(b *batch, m *message, sum *classifier.Summary) error {
	if sum.Mixed {
		return refuser.New(refuser.Unsupported, "a setting of the proxy among other statements")
	}
	b.class = max(b.class, sum.Class)
	b.statementCount += max(sum.Count, 1)
	b.beginsTx = b.beginsTx || sum.Begin
	b.readOnlyTx = sum.ReadOnly && b.statementCount == 1
	b.endsTx = b.endsTx || sum.End
	b.chainsTx = b.chainsTx || sum.Chain
	b.rollsBack = sum.Rollback && b.statementCount == 1
	b.usesSavepoint = b.usesSavepoint || sum.Savepoint
	if sum.ProxyStatement != nil && (!s.pinned || sum.ProxyStatement.Verb != classifier.Deallocate) {
		m.proxyStmt = sum.ProxyStatement
		b.proxyMessages++
	} else {
		b.setsState = b.setsState || sum.CreatesSessionState
	}
	if len(sum.Hints) == 0 {
		return nil
	}
	var err error
	b.settings, err = s.applyHints(sum.Hints, b.settings)
	return err
}

// removeAddedStatements removes the statements that the batch added to the
// session and that no backend server has accepted.
func (s *session) removeAddedStatements(b *batch) {
	for _, name := range b.addedStatements {
		s.removeStatement(name)
	}
	b.addedStatements = b.addedStatements[:0]
}
