package backendserver

import (
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

func (ss *session) login() error {
	startup, err := ss.receiveStartupMessage()
	if err != nil {
		return err
	}
	s := ss.server
	parameters := maps.Clone(startup.Parameters)
	s.mu.Lock()
	ss.startupParameters = parameters
	s.mu.Unlock()
	if err := ss.waitWhileBlocked(); err != nil {
		return err
	}
	if err := waitUpTo(ss.ctx, s.ConnectCost, nil); err != nil {
		return err
	}
	password := ""
	if s.Password != "" {
		if password, err = ss.requestPassword(); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.logins = append(s.logins, Login{ss.pid, parameters["user"], parameters["database"], password, parameters})
	full := password == s.Password && !s.admit(ss)
	s.mu.Unlock()
	if password != s.Password {
		return ss.rejectLogin(sqlErrorf("28P01", "password authentication failed for user %q", parameters["user"]))
	}
	if full {
		return ss.rejectLogin(sqlErrorf("53300", "sorry, too many clients already"))
	}
	if err := ss.setDefaults(parameters); err != nil {
		return ss.rejectLogin(err)
	}
	ss.settings = maps.Clone(ss.defaults)
	ss.backend.Send(&pgproto3.AuthenticationOk{})
	for name := range reportedSettings {
		ss.reportSetting(name)
	}
	ss.backend.Send(&pgproto3.BackendKeyData{ProcessID: ss.pid, SecretKey: cancelKey(ss.pid)})
	return ss.sendReadyForQuery()
}

// setDefaults takes the default settings of the session from the parameters of
// the startup message.
func (ss *session) setDefaults(parameters map[string]string) error {
	given := map[string]string{}
	for name, v := range parameters {
		if name != "user" && name != "database" && name != "options" {
			given[name] = v
		}
	}
	for _, option := range strings.Split(parameters["options"], "-c ") {
		if name, v, ok := strings.Cut(strings.TrimSpace(option), "="); ok {
			given[name] = v
		}
	}
	for name, v := range given {
		name = strings.ToLower(name)
		if err := checkSettingName(name); err != nil {
			return err
		}
		ss.defaults[name] = v
	}
	return nil
}

// admit counts the session towards MaxConnections and reports whether the limit
// allows it. Sessions of replicas are not counted. The caller must hold s.mu.
func (s *Server) admit(ss *session) bool {
	if ss.startupParameters["user"] == replicationUser {
		return true
	}
	if s.MaxConnections > 0 && s.admittedSessions >= s.MaxConnections {
		return false
	}
	ss.admitted = true
	s.admittedSessions++
	return true
}

// receiveStartupMessage receives messages up to the startup message. It refuses
// encryption, and handles a cancel request, after which the connection closes.
func (ss *session) receiveStartupMessage() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := ss.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrapf(err, "connection %d: receive startup message", ss.pid)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if err := ss.waitWhileBlocked(); err == nil {
				ss.server.cancelStatement(m.ProcessID, m.SecretKey)
			}
			return nil, errDropped
		default:
			if _, err := ss.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrapf(err, "connection %d: refuse encryption", ss.pid)
			}
		}
	}
}

func (ss *session) requestPassword() (string, error) {
	ss.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := ss.flush(); err != nil {
		return "", err
	}
	if err := ss.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", errors.Wrap(err, "authentication")
	}
	msg, err := ss.backend.Receive()
	if err != nil {
		return "", errors.Wrap(err, "password")
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errDropped
	}
	return m.Password, ss.waitWhileBlocked()
}

// rejectLogin sends an SQL error as FATAL and returns it, which closes the
// connection.
func (ss *session) rejectLogin(err error) error {
	var e *sqlError
	if !errors.As(err, &e) {
		return err
	}
	r := e.response()
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	ss.backend.Send(r)
	if err := ss.flush(); err != nil {
		return err
	}
	return e
}
