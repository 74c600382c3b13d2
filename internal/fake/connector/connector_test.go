package connector_test

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/connector"
)

// Guards against a stopped server that accepts connections, and against one that cannot
// start again at its address.
func TestServerStopsAndStartsAgain(t *testing.T) {
	const address = "127.0.0.1:1"
	var n connector.Network
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := n.Dial(ctx, "tcp", address)
	qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	for range 2 {
		l, err := n.Listen(address)
		qt.Assert(t, err, qt.IsNil)
		_, err = n.Listen(address)
		qt.Assert(t, errors.Is(err, syscall.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
		go func() {
			conn, err := l.Accept()
			if err == nil {
				_, _ = io.WriteString(conn, "served")
				_ = conn.Close()
			}
		}()
		conn, err := n.Dial(ctx, "tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		data, err := io.ReadAll(conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(data), qt.Equals, "served")
		qt.Assert(t, l.Close(), qt.IsNil)
		_, err = n.Dial(ctx, "tcp", address)
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	}
}
