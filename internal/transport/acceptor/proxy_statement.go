package acceptor

import (
	"time"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// respondAborted responds to a batch in a transaction that the proxy aborted.
// Only a statement that ends the transaction is accepted, and it is reported as
// ROLLBACK.
func (s *session) respondAborted(b *batch) error {
	if !b.endsTx {
		if b.class == classifier.Empty && b.terminator == 'S' {
			return s.writeToClient(framer.AppendFrame(nil, 'Z', s.txStatus))
		}
		return refuser.New(refuser.InFailedTransaction, "")
	}
	s.txAborted, s.txStatus = false, 'I'
	return s.synthesizeResponse(b, func(int) []byte { return framer.AppendText(nil, 'C', "ROLLBACK") })
}

// respondEmpty responds to a batch without statements while the session holds
// no backend connection.
func (s *session) respondEmpty(b *batch) error {
	return s.synthesizeResponse(b, func(int) []byte { return framer.AppendFrame(nil, 'I') })
}

// respondProxyStatements runs a batch of proxy statements: SET, SHOW and RESET
// of the proxy's settings, and DEALLOCATE.
func (s *session) respondProxyStatements(b *batch, view configurer.View) error {
	for i := range b.messages {
		m := &b.messages[i]
		forServer := m.stmt != nil && m.stmt.summary.ProxyStatement == nil || m.kind == 'Q' && m.proxyStmt == nil
		if forServer && m.kind != 'P' {
			return refuser.New(refuser.Unsupported, "statements of the proxy and of the server in one batch")
		}
	}
	responses := make([][]byte, len(b.messages))
	var last []byte
	for i := range b.messages {
		if m := &b.messages[i]; m.proxyStmt != nil && m.kind != 'D' {
			response, err := s.runProxyStatement(m.proxyStmt, view)
			if err != nil {
				return err
			}
			last = response
		}
		responses[i] = last // An Execute follows the Bind of its statement.
	}
	return s.synthesizeResponse(b, func(i int) []byte { return responses[i] })
}

func (s *session) runProxyStatement(o *classifier.ProxyStatement, view configurer.View) ([]byte, error) {
	switch o.Verb {
	case classifier.Set:
		if o.Malformed {
			return nil, refuser.New(refuser.InvalidSetting, o.Name+" is not one constant")
		}
		if o.Name == "route" {
			if err := s.checkRoute(view, o.Value); err != nil {
				return nil, err
			}
		}
		if err := s.set(o.Name, o.Value); err != nil {
			return nil, err
		}
	case classifier.Deallocate:
		if o.Name == "" {
			s.prepared, s.preparedBytes = nil, 0
		} else if s.prepared[o.Name] == nil {
			return nil, refuser.New(refuser.UnknownStatement, "")
		}
		s.removeStatement(o.Name)
	case classifier.Show:
		value, err := s.showSetting(o.Name)
		if err != nil {
			return nil, err
		}
		return appendSettingRow(nil, value), nil
	}
	return framer.AppendText(nil, 'C', o.Tag), nil
}

// showSetting returns the value of a setting. For the position it waits until
// the position is known, so that a client can pass it to another session
// immediately after a write.
func (s *session) showSetting(name string) (string, error) {
	switch name {
	case "route":
		return s.settings.route, nil
	case "max_age":
		return s.settings.maxAge.String(), nil
	case "deadline":
		return s.settings.deadline.String(), nil
	case "request_id":
		return string(s.settings.requestID), nil
	case "position":
		p, err := s.awaitFloor()
		if err != nil || p.IsZero() {
			return "", err
		}
		return p.String(), nil
	}
	return "", refuser.New(refuser.InvalidSetting, "unknown setting oleanderpulley."+name)
}

// awaitFloor waits until the session's position is known.
func (s *session) awaitFloor() (identifier.Position, error) {
	ctx := s.newContext(time.Now().Add(s.statementTimeout(s.settings)))
	defer ctx.stop()
	for {
		if err := s.resolveFloor(); err != nil || s.floorKnown {
			return s.floor, err
		}
		if s.acceptor.RequestSample != nil {
			s.acceptor.RequestSample(s.service)
		}
		if err := ctx.sleep(samplePollInterval); err != nil {
			return identifier.Position{}, refuser.New(refuser.NotRun, "position is not known in time")
		}
	}
}

// settingRowDescription is a RowDescription with one text column named
// "setting".
var settingRowDescription = framer.AppendFrame(nil, 'T', append([]byte("\x00\x01setting\x00"),
	0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)...)

func appendSettingRow(out []byte, value string) []byte {
	offset := len(out)
	out = append(framer.Begin(out, 'D'), 0, 1, 0, 0, byte(len(value)>>8), byte(len(value)))
	out = framer.End(append(out, value...), offset)
	return framer.AppendText(out, 'C', "SHOW")
}

// synthesizeResponse responds to a batch without a backend server. The function
// run returns the response to the statement that the i-th message executes.
func (s *session) synthesizeResponse(b *batch, run func(i int) []byte) error {
	var out []byte
	for i := range b.messages {
		m := &b.messages[i]
		rows := m.proxyStmt != nil && m.proxyStmt.Verb == classifier.Show
		switch m.kind {
		case 'P':
			out = framer.AppendFrame(out, '1')
		case 'B':
			out = framer.AppendFrame(out, '2')
			b.beginsTx = rows // Reused to record whether the portal, which Describe refers to, returns rows.
		case 'D':
			out = s.appendDescription(out, m, rows || m.stmt == nil && b.beginsTx)
		case 'E':
			out = append(out, run(i)...)
		case 'C':
			out = framer.AppendFrame(out, '3')
		case 'Q':
			if rows {
				out = append(out, settingRowDescription...)
			}
			out = framer.AppendFrame(append(out, run(i)...), 'Z', s.txStatus)
		case 'S':
			out = framer.AppendFrame(out, 'Z', s.txStatus)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return s.writeToClient(out)
}

func (s *session) appendDescription(out []byte, m *message, rows bool) []byte {
	if m.stmt != nil {
		out = framer.AppendFrame(out, 't', 0, 0)
	}
	if rows {
		return append(out, settingRowDescription...)
	}
	return framer.AppendFrame(out, 'n')
}
