package acceptor

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

const (
	maxStartupPacket   = 10000 // In bytes; the same limit as in PostgreSQL.
	maxPasswordMessage = 4096
	protocolMajor      = 3
	cancelRequest      = 80877102
	sslRequest         = 80877103
	gssEncRequest      = 80877104
	settingsPrefix     = "oleanderpulley."
)

// errConnectionEnded ends a connection without sending an error.
var errConnectionEnded = errors.New("connection ended")

// startup negotiates encryption, reads the startup message and authenticates
// the client.
func (s *session) startup() error {
	deadline := time.Now().Add(orDefault(s.acceptor.StartupTimeout, defaultStartupTimeout))
	if err := s.conn.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set startup deadline")
	}
	packet, err := s.negotiateEncryption()
	if err != nil {
		return err
	}
	parameters, err := parseStartup(packet)
	if err != nil {
		return err
	}
	if err := s.applyStartupParameters(parameters); err != nil {
		return err
	}
	if err := s.authenticate(parameters["user"]); err != nil {
		return err
	}
	if err := s.completeStartup(binary.BigEndian.Uint32(packet)); err != nil {
		return err
	}
	return errors.Wrap(s.conn.SetDeadline(time.Time{}), "clear startup deadline")
}

// negotiateEncryption responds to encryption requests until the startup message
// arrives. It returns that message without its length.
func (s *session) negotiateEncryption() ([]byte, error) {
	for range 3 {
		packet, err := readPacket(s.conn)
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); {
		case code == cancelRequest:
			s.acceptor.forwardCancel(packet[4:])
			return nil, errConnectionEnded
		case code == sslRequest && s.acceptor.TLS != nil && !s.encrypted:
			if err := s.startTLS(); err != nil {
				return nil, err
			}
		case code == sslRequest, code == gssEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "write refusal of encryption request")
			}
		case code>>16 != protocolMajor:
			return nil, refuser.New(refuser.Protocol, "unsupported protocol version")
		case !s.encrypted && !isLoopback(s.conn.RemoteAddr()):
			return nil, &refuser.RefusalError{Case: refuser.WrongKey, Reason: "TLS is required"}
		default:
			return packet, nil
		}
	}
	return nil, refuser.New(refuser.Protocol, "too many encryption requests")
}

func (s *session) startTLS() error {
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return errors.Wrap(err, "write acceptance of TLS request")
	}
	tlsConn := tls.Server(s.conn, s.acceptor.TLS)
	if err := tlsConn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	s.mu.Lock()
	s.conn, s.encrypted = tlsConn, true
	s.mu.Unlock()
	s.input.Source = tlsConn
	return nil
}

// readPacket reads a message that has no type byte, and returns its body of at
// least four bytes: the request code or protocol version.
func readPacket(r io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.Wrap(err, "read startup packet")
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 8 || length > maxStartupPacket {
		return nil, refuser.New(refuser.Protocol, "invalid length of startup packet")
	}
	packet := make([]byte, length-4)
	if _, err := io.ReadFull(r, packet); err != nil {
		return nil, errors.Wrap(err, "read startup packet")
	}
	return packet, nil
}

// parseStartup parses the parameters that follow the protocol version.
func parseStartup(packet []byte) (map[string]string, error) {
	parameters := map[string]string{}
	rest := packet[4:]
	for len(rest) > 1 {
		name, after, ok := framer.CutText(rest)
		if !ok || len(name) == 0 {
			return nil, refuser.New(refuser.Protocol, "malformed startup packet")
		}
		value, next, ok := framer.CutText(after)
		if !ok {
			return nil, refuser.New(refuser.Protocol, "malformed startup packet")
		}
		parameters[string(name)] = string(value)
		rest = next
	}
	if !bytes.Equal(rest, []byte{0}) {
		return nil, refuser.New(refuser.Protocol, "startup packet without terminator")
	}
	if parameters["database"] == "" {
		parameters["database"] = parameters["user"]
	}
	return parameters, nil
}

// applyStartupParameters validates the startup parameters and stores them in
// the session.
func (s *session) applyStartupParameters(parameters map[string]string) error {
	s.service = identifier.ServiceName(parameters["database"])
	s.workspace = identifier.WorkspaceName(parameters["user"])
	for name, value := range parameters {
		if setting, ok := strings.CutPrefix(name, settingsPrefix); ok {
			if err := s.set(setting, value); err != nil {
				return asFatal(err)
			}
			continue
		}
		switch name {
		case "user", "database":
		case "extra_float_digits":
			// All values above 0 give the same rows as the default, since PostgreSQL 12.
			if value != "1" && value != "2" && value != "3" {
				s.startupSettings = append(s.startupSettings, [2]string{name, value})
			}
		case "application_name":
			s.application = value
		case "client_encoding":
			if encoding := strings.ToUpper(strings.Trim(value, "'")); encoding != "UTF8" && encoding != "UTF-8" && encoding != "UNICODE" {
				return asFatal(refuser.New(refuser.Unsupported, "client_encoding other than UTF8"))
			}
		case "replication":
			return asFatal(refuser.New(refuser.Unsupported, "replication connections"))
		default:
			if strings.HasPrefix(name, "_pq_.") {
				continue
			}
			if !isSettingName(name) || name == "options" {
				return asFatal(refuser.New(refuser.Unsupported, "startup parameter of this name"))
			}
			s.startupSettings = append(s.startupSettings, [2]string{name, value})
		}
	}
	return nil
}

// authenticate verifies the client's key, unless the session uses an open
// route.
func (s *session) authenticate(user string) error {
	view, err := s.acceptor.View()
	if err != nil {
		return asFatal(refuser.From(err))
	}
	if name := s.settings.route; name != "" {
		if r, ok := view.Route(name); ok && r.Open && r.Service == s.service {
			s.openRoute, s.workspace = name, r.Workspace
			return nil
		}
	}
	if user == "" {
		return refuser.New(refuser.WrongKey, "no user given")
	}
	key, err := s.requestPassword()
	if err != nil {
		return err
	}
	// Get the configuration again: the key may have been withdrawn while the
	// proxy waited for the password.
	if view, err = s.acceptor.View(); err != nil {
		return asFatal(refuser.From(err))
	}
	id, err := view.Authenticate(s.workspace, key)
	if err != nil || !view.Allowed(s.workspace, s.service) {
		s.acceptor.Log.Warn().Str("event", "authentication_refused").Str("workspace", string(s.workspace)).
			Str("service", string(s.service)).Send()
		return refuser.New(refuser.WrongKey, "")
	}
	s.key, s.keyHash = id, view.Accepted.Keys[id].Hash
	return s.checkRoute(view, s.settings.route)
}

func (s *session) requestPassword() (string, error) {
	if err := s.writeToClient(framer.AppendFrame(nil, 'R', 0, 0, 0, 3)); err != nil {
		return "", err
	}
	s.input.Limit = maxPasswordMessage
	kind, frame, err := s.input.Next()
	if err != nil {
		return "", errors.Wrap(err, "read password")
	}
	body := frame[framer.HeaderSize:]
	if kind != 'p' || len(body) == 0 || body[len(body)-1] != 0 {
		return "", refuser.New(refuser.Protocol, "expected a password message")
	}
	key := string(body[:len(body)-1])
	clear(body)
	s.input.Consume()
	return key, nil
}

// completeStartup sends the parameters and the cancel key, which completes the
// startup.
func (s *session) completeStartup(version uint32) error {
	s.input.Limit = s.acceptor.MaxBatchSize
	var out []byte
	if minor := version & 0xffff; minor > 0 {
		// Only protocol 3.0 without protocol options is supported.
		out = framer.AppendFrame(out, 'v', 0, 3, 0, 0, 0, 0, 0, 0)
	}
	out = framer.AppendFrame(out, 'R', 0, 0, 0, 0)
	s.reportedParameters = s.acceptor.Pooler.Parameters(string(s.service))
	for i, name := range s.reportedParameters.Names {
		out = framer.AppendText(out, 'S', name, s.reportedParameters.Values[i])
	}
	out = framer.AppendText(out, 'S', "application_name", s.application)
	if s.floorKnown {
		out = framer.AppendText(out, 'S', settingsPrefix+"position", s.floor.String())
		s.reportedPosition = s.floor
	}
	key := binary.BigEndian.AppendUint32(nil, s.processID)
	out = framer.AppendFrame(out, 'K', append(key, s.cancelSecret[:]...)...)
	return s.writeToClient(framer.AppendFrame(out, 'Z', 'I'))
}

// accessRevoked reports whether the session's key, or its open route, no longer
// permits it to use the service.
func (s *session) accessRevoked(v configurer.View) bool {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if !started {
		return false
	}
	if s.openRoute != "" {
		r, ok := v.Route(s.openRoute)
		return !ok || !r.Open || r.Workspace != s.workspace
	}
	return !v.KeyValid(s.key, s.workspace) || v.Accepted.Keys[s.key].Hash != s.keyHash || !v.Allowed(s.workspace, s.service)
}

func isSettingName(name string) bool {
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func asFatal(err error) error {
	r := *refuser.From(err)
	r.Closing = true
	return &r
}

// clientHost returns the client's address without the port.
func clientHost(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
