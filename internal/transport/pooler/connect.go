package pooler

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
)

const (
	protocolVersion            = 3 << 16
	sslRequestCode             = 80877103
	cancelRequestCode          = 80877102
	sqlstateTooManyConnections = "53300"
	readBufferSize             = 16 << 10
	maxMessageSize             = 1 << 30 // PostgreSQL's own limit on the size of a message.
)

// openConn connects to a target and logs in as p.User. It reserves no slot of the
// budget; see openReserved.
func (p *Pooler) openConn(ctx context.Context, t Target) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	tcpConn, nc, err := p.dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	c := &Conn{
		Conn: nc, owner: p, target: t, newlyOpened: true,
		Parameters: &Parameters{}, Prepared: map[StatementKey]struct{}{},
	}
	c.Reader = framer.Reader{Source: c, Size: readBufferSize, Limit: maxMessageSize}
	deadline, _ := ctx.Deadline()
	if err = nc.SetDeadline(deadline); err == nil {
		err = p.logIn(c)
	}
	if err == nil {
		err = nc.SetDeadline(time.Time{})
	}
	if err != nil {
		c.close()
		return nil, err
	}
	c.initSocketPeek(tcpConn)
	c.Parameters = p.internParameters(t.Database, c.Parameters)
	p.openConns.Store(c, struct{}{})
	return c, nil
}

// dial returns the TCP connection and the connection to read from and write to.
// They differ with TLS.
func (p *Pooler) dial(ctx context.Context, address string) (tcpConn, conn net.Conn, err error) {
	dial := p.Dial
	if dial == nil {
		dialer := net.Dialer{KeepAlive: 15 * time.Second}
		dial = func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial")
	}
	if p.TLS == nil {
		return nc, nc, nil
	}
	secure, err := startTLS(ctx, nc, p.TLS)
	if err != nil {
		_ = nc.Close()
		return nil, nil, err
	}
	return nc, secure, nil
}

// startTLS sends an SSLRequest and performs the TLS handshake. The deadline of
// ctx applies to both.
func startTLS(ctx context.Context, nc net.Conn, config *tls.Config) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := nc.SetDeadline(deadline); err != nil {
			return nil, errors.Wrap(err, "set deadline")
		}
	}
	request := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, sslRequestCode)
	if _, err := nc.Write(request); err != nil {
		return nil, errors.Wrap(err, "send SSLRequest")
	}
	var response [1]byte
	if _, err := io.ReadFull(nc, response[:]); err != nil {
		return nil, errors.Wrap(err, "read answer to SSLRequest")
	}
	if response[0] != 'S' {
		return nil, errors.New("backend server does not offer TLS")
	}
	secure := tls.Client(nc, config)
	return secure, errors.Wrap(secure.HandshakeContext(ctx), "TLS handshake")
}

// logIn sends the startup message and handles the responses up to ReadyForQuery.
func (p *Pooler) logIn(c *Conn) error {
	out := binary.BigEndian.AppendUint32(make([]byte, 4, 128), protocolVersion)
	startupParameters := []string{"user", p.User, "database", c.target.Database, "application_name", p.Application,
		"client_encoding", "UTF8"}
	if p.DataCentre != "" {
		startupParameters = append(startupParameters, "oleanderpulley.data_centre", string(p.DataCentre))
	}
	for _, text := range append(startupParameters, p.Password) {
		if strings.IndexByte(text, 0) >= 0 {
			return errors.New("startup parameter or password has a zero byte")
		}
	}
	for _, text := range startupParameters {
		out = append(append(out, text...), 0)
	}
	out = append(out, 0)
	binary.BigEndian.PutUint32(out, uint32(len(out)))
	if _, err := c.Write(out); err != nil {
		return errors.Wrap(err, "send startup message")
	}
	for {
		kind, frame, err := c.Reader.Next()
		if err != nil {
			return errors.Wrap(err, "read answer to startup message")
		}
		done, err := p.handleLoginMessage(c, kind, frame[framer.HeaderSize:], frame)
		if err != nil || done {
			return err
		}
		c.Reader.Consume()
	}
}

// handleLoginMessage handles one message of the login. It returns true after
// ReadyForQuery, which ends the login.
func (p *Pooler) handleLoginMessage(c *Conn, kind byte, body, frame []byte) (bool, error) {
	switch kind {
	case 'R':
		return false, p.authenticate(c, body)
	case 'S':
		name, rest, _ := framer.CutText(body)
		value, _, _ := framer.CutText(rest)
		if string(name) == "application_name" {
			return false, nil // Clients are sent their own application_name.
		}
		c.Parameters.Names = append(c.Parameters.Names, string(name))
		c.Parameters.Values = append(c.Parameters.Values, string(value))
	case 'K':
		if len(body) < 8 {
			return false, errors.New("short BackendKeyData")
		}
		c.pid = binary.BigEndian.Uint32(body)
		c.secretKey = append([]byte(nil), body[4:]...)
	case 'E':
		sqlstate := framer.ErrorField(frame, 'C')
		if sqlstate == sqlstateTooManyConnections && p.OnTooManyConnections != nil {
			p.OnTooManyConnections(c.target.Server)
		}
		return false, errors.Errorf("%s %s", sqlstate, framer.ErrorField(frame, 'M'))
	case 'Z':
		if len(body) != 1 {
			return false, errors.New("malformed ReadyForQuery")
		}
		c.Status = body[0]
		c.Reader.Consume()
		return true, nil
	}
	return false, nil
}

// authenticate responds to an authentication request. The methods are those of
// the protocol: ok, cleartext password, and the three messages of SASL.
func (p *Pooler) authenticate(c *Conn, body []byte) error {
	if len(body) < 4 {
		return errors.New("short authentication request")
	}
	switch method := binary.BigEndian.Uint32(body); method {
	case 0:
		if c.scram != nil {
			return errors.New("backend server ended SCRAM without proving itself")
		}
		return nil
	case 3:
		_, err := c.Write(framer.AppendText(nil, 'p', p.Password))
		return errors.Wrap(err, "send password")
	case 10:
		return c.startSCRAM(body[4:], p.Password)
	case 11:
		return c.continueSCRAM(body[4:])
	case 12:
		return c.finishSCRAM(body[4:])
	default:
		return errors.Errorf("authentication method %d is not supported", method)
	}
}

// Cancel sends a CancelRequest for the running statement of the connection. The
// connection is closed when it is released, because the server may process the
// request late and would then cancel a statement of the next session.
func (p *Pooler) Cancel(ctx context.Context, c *Conn) error {
	c.cancelled.Store(true)
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	_, nc, err := p.dial(ctx, c.target.Address)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(12+len(c.secretKey)))
	out = binary.BigEndian.AppendUint32(out, cancelRequestCode)
	out = binary.BigEndian.AppendUint32(out, c.pid)
	if _, err := nc.Write(append(out, c.secretKey...)); err != nil {
		return errors.Wrap(err, "send CancelRequest")
	}
	// The server closes the connection after it has signalled the process.
	if _, err := nc.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "wait for the end of CancelRequest")
	}
	return nil
}

// MarkCancelled records that a cancel request is about to be sent, so that the
// connection is not reused.
func (c *Conn) MarkCancelled() { c.cancelled.Store(true) }
