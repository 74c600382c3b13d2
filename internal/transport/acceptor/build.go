package acceptor

import (
	"hash/fnv"
	"strconv"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/transport/pooler"
)

// maxPreparedPerConn is the number of prepared statements on one backend
// connection above which they are deallocated.
const maxPreparedPerConn = 500

var (
	parseComplete = framer.AppendFrame(nil, '1')
	closeComplete = framer.AppendFrame(nil, '3')
)

// buildRequest returns the bytes to send to the backend server and sets the
// responses that are expected. A batch that needs no rewriting is sent as it
// was received.
func (s *session) buildRequest(b *batch, c *pooler.Conn) []byte {
	kept := s.input.Retained()
	s.buildPrelude(b)
	whole := b.messages[0].start == 0 // False if preceding messages were skipped.
	if len(b.request) == 0 && whole && b.terminator != 'd' && !s.needsRewrite(b) {
		for i := range b.messages {
			if m := &b.messages[i]; m.kind != 'H' {
				b.expected = append(b.expected, expectedResponse{kind: m.kind, stmt: m.stmt, answer: m.answer})
			}
		}
		return kept
	}
	unnamed := false // Whether this batch's unnamed statement is prepared on the connection.
	for i := range b.messages {
		m := &b.messages[i]
		frame := kept[m.start:m.end]
		switch {
		case m.kind == 'P':
			unnamed = unnamed || m.stmt.name == ""
			s.buildParse(b, c, m, frame)
			continue
		case m.kind == 'C' && frame[framer.HeaderSize] == 'S':
			b.expected = append(b.expected, expectedResponse{kind: 'C', synthetic: closeComplete})
			continue
		case m.stmt != nil:
			if m.stmt.name != "" || !unnamed {
				s.ensurePrepared(b, c, m.stmt)
				unnamed = unnamed || m.stmt.name == ""
			}
			b.request = appendRenamed(b.request, m.kind, frame, m.stmt.name)
		default:
			b.request = append(b.request, frame...)
		}
		if m.kind != 'H' {
			b.expected = append(b.expected, expectedResponse{kind: m.kind, stmt: m.stmt, answer: m.answer})
		}
		unnamed = unnamed && m.kind != 'Q'
	}
	if b.terminator == 'd' {
		b.request = framer.AppendFrame(b.request, 'H')
	}
	s.buildPostlude(b)
	return b.request
}

// needsRewrite reports whether the batch uses named statements, or an unnamed
// statement that an earlier batch prepared, possibly on another connection.
func (s *session) needsRewrite(b *batch) bool {
	unnamed := false
	for i := range b.messages {
		m := &b.messages[i]
		switch {
		case m.kind == 'C':
			return true
		case m.stmt == nil:
		case m.stmt.name != "":
			return true
		case m.kind == 'P':
			unnamed = true
		case !unnamed:
			return true
		}
	}
	return false
}

func (s *session) buildParse(b *batch, c *pooler.Conn, m *message, frame []byte) {
	p := m.stmt
	if p.name == "" {
		b.request = append(b.request, frame...)
		b.expected = append(b.expected, expectedResponse{kind: 'P', stmt: p})
		return
	}
	if _, ok := c.Prepared[p.key]; ok {
		b.expected = append(b.expected, expectedResponse{kind: 'P', synthetic: parseComplete})
		return
	}
	b.request = appendParse(b.request, p)
	c.Prepared[p.key] = struct{}{}
	b.expected = append(b.expected, expectedResponse{kind: 'P', stmt: p})
}

// ensurePrepared prepares a statement of the session on the current connection
// if it is not prepared there.
func (s *session) ensurePrepared(b *batch, c *pooler.Conn, p *preparedStatement) {
	if p.name != "" {
		if _, ok := c.Prepared[p.key]; ok {
			return
		}
		c.Prepared[p.key] = struct{}{}
	}
	b.request = appendParse(b.request, p)
	b.expected = append(b.expected, expectedResponse{kind: 'P', role: roleDiscard, stmt: p})
}

func appendParse(out []byte, p *preparedStatement) []byte {
	offset := len(out)
	out = append(framer.Begin(out, 'P'), p.name...)
	return framer.End(append(append(out, 0), p.body...), offset)
}

// appendRenamed appends a copy of a Bind or Describe message in which the name
// of the statement is replaced.
func appendRenamed(out []byte, kind byte, frame []byte, name string) []byte {
	body := frame[framer.HeaderSize:]
	offset := len(out)
	out = framer.Begin(out, kind)
	if kind == 'D' {
		out = append(append(append(out, 'S'), name...), 0)
		return framer.End(out, offset)
	}
	portal, rest, _ := framer.CutText(body)
	_, values, _ := framer.CutText(rest)
	out = append(append(out, portal...), 0)
	out = append(append(out, name...), 0)
	return framer.End(append(out, values...), offset)
}

// buildPrelude adds the statements that run before the batch: setting the
// workspace, which a pinned session may have reset along with its other
// settings, and inserting the record of the request ID.
func (s *session) buildPrelude(b *batch) {
	if s.pinned && s.txStatus == 'I' && !s.awaitingSync {
		b.request = framer.AppendText(b.request, 'Q', pooler.WorkspaceSetting(s.workspace))
		b.expected = append(b.expected, expectedResponse{kind: 'Q', role: rolePrelude, answer: settingAnswer})
	}
	if b.recordRequest {
		recorded := recordAnswer
		sql := "INSERT INTO oleanderpulley_requests (workspace, request_id, digest) VALUES (" +
			pooler.Literal(string(s.workspace)) + ", " + pooler.Literal(string(b.settings.requestID)) + ", '" +
			strconv.FormatUint(s.requestDigest(b), 16) + "')"
		if b.wrapInTx {
			sql, recorded = "BEGIN; "+sql, wrappedRecordAnswer
		}
		b.request = framer.AppendText(b.request, 'Q', sql)
		b.expected = append(b.expected, expectedResponse{kind: 'Q', role: rolePrelude, answer: recorded})
	}
}

// requestDigest returns a hash of the batch that is stored with the request ID.
// It lets an operator compare two requests that used the same ID.
func (s *session) requestDigest(b *batch) uint64 {
	h := fnv.New64a()
	for i := range b.messages {
		_, _ = h.Write(s.input.Retained()[b.messages[i].start:b.messages[i].end])
	}
	return h.Sum64()
}

func (s *session) buildPostlude(b *batch) {
	if b.wrapInTx {
		b.request = framer.AppendText(b.request, 'Q', "COMMIT")
		b.expected = append(b.expected, expectedResponse{kind: 'Q', role: rolePostlude, answer: commitAnswer})
	}
}
