package pooler

import (
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/state/identifier"
)

// StatementKey identifies the text and parameter types of a prepared
// statement.
type StatementKey [16]byte

// Conn is a connection to a backend server. It is used by one session at a time.
type Conn struct {
	net.Conn
	Reader     framer.Reader
	Parameters *Parameters               // Reported by the server during login.
	Prepared   map[StatementKey]struct{} // Prepared statements that exist on the connection.
	// Status is the transaction status of the last ReadyForQuery: 'I', 'T' or
	// 'E'; 0 while a response is outstanding.
	Status byte

	owner        *Pooler
	lastWrite    atomic.Int64 // Time of the last Write in Unix nanoseconds.
	lastRead     atomic.Int64 // Time of the last Read that returned bytes.
	target       Target
	workspace    identifier.WorkspaceName
	pid          uint32           // Process ID of BackendKeyData.
	secretKey    []byte           // Secret key of BackendKeyData, for CancelRequest.
	newlyOpened  bool             // Not yet reset for a first workspace.
	cancelled    atomic.Bool      // A cancel request was or will be sent, see [Pooler.Cancel].
	idleSince    time.Time        // Time of the last Release.
	scram        *scramClient     // Set during a login with SCRAM-SHA-256.
	rawConn      syscall.RawConn  // Of the TCP connection; nil if it is not available.
	peekSocket   func(fd uintptr) // Sets openAndEmpty.
	peeked       byte             // First byte of the data that the last peekSocket found; 0 if there is none.
	openAndEmpty bool             // The last peekSocket found the connection open and without data to read.
}

// Write sends bytes to the server and records the time.
func (c *Conn) Write(b []byte) (int, error) {
	c.lastWrite.Store(time.Now().UnixNano())
	return c.Conn.Write(b)
}

// Read receives bytes from the server and records the time if there are any.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 { // A read that is interrupted by a deadline returns none.
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Clean reports whether the connection has no open transaction, no unread
// response and no pending cancel request.
func (c *Conn) Clean() bool {
	return c.Status == 'I' && c.Reader.Buffered() == 0 && !c.cancelled.Load()
}

// hasNoInput reports whether the socket is open and has nothing to read. An idle
// connection with something to read was closed by the server or has received a
// response to no request.
func (c *Conn) hasNoInput() bool {
	if c.rawConn == nil {
		return true
	}
	c.openAndEmpty = false
	return c.rawConn.Control(c.peekSocket) == nil && c.openAndEmpty
}

// AwaitReadable blocks until the connection is closed or has something to read,
// which it does not read. It returns false when the read deadline passes.
func (c *Conn) AwaitReadable() bool {
	if c.rawConn == nil {
		return false
	}
	return c.rawConn.Read(func(fd uintptr) bool {
		c.peekSocket(fd)
		return !c.openAndEmpty
	}) == nil
}

// HasNoInput reports whether the connection is open and has nothing to read,
// neither in its buffer nor on the socket.
func (c *Conn) HasNoInput() bool { return c.Reader.Buffered() == 0 && c.hasNoInput() }

// initSocketPeek sets rawConn and peekSocket. It leaves them nil if the
// connection gives no access to its file descriptor.
func (c *Conn) initSocketPeek(tcpConn net.Conn) {
	syscallConn, ok := tcpConn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	var buf [1]byte
	c.rawConn = raw
	c.peekSocket = func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.openAndEmpty, c.peeked = errors.Is(err, syscall.EAGAIN), 0
		if err == nil && n > 0 {
			c.peeked = buf[0]
		}
	}
}

// close closes the connection and removes it from the Pooler's open connections.
func (c *Conn) close() {
	c.Status = 0
	if c.owner != nil {
		c.owner.openConns.Delete(c)
	}
	_ = c.Close()
}

// WorkspaceSetting returns the statement that sets the workspace of a connection
// at the backend server.
func WorkspaceSetting(workspace identifier.WorkspaceName) string {
	return "SET oleanderpulley.workspace = " + Literal(string(workspace))
}

// Literal quotes text as an SQL string constant. Text with a backslash becomes an
// escape string constant, which does not depend on
// standard_conforming_strings. The space keeps its E apart from a word before it.
func Literal(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if strings.Contains(text, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}
