package pooler_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/transport/pooler"
)

// lostStatementTimeout exceeds the time of the last check after a call of
// CheckConnections, with a margin for a busy host.
const lostStatementTimeout = 12 * time.Second

// Guards against a statement that waits until its own deadline, and occupies a
// slot until then, on a connection that no longer responds. Also guards against
// checks that close a connection whose statement is merely slow.
func TestDistrustClosesConnectionsOfLostStatements(t *testing.T) {
	g, err := backendserver.StartGroup("b", 1, nil)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = g.Close() })
	server := g.Servers()[0]
	p := &pooler.Pooler{User: "proxy", Application: "test"}
	t.Cleanup(p.Close)
	target := pooler.Target{Server: "b-1", Address: server.Address(), Database: "b"}
	lost, err := p.Acquire(context.Background(), target, "puebla")
	qt.Assert(t, err, qt.IsNil)
	server.HangOpenConnections()
	slow, err := p.Acquire(context.Background(), target, "puebla")
	qt.Assert(t, err, qt.IsNil)
	for _, c := range []*pooler.Conn{lost, slow} {
		_, err = c.Write(framer.AppendText(nil, 'Q', "SELECT pg_sleep(3)"))
		qt.Assert(t, err, qt.IsNil)
	}
	p.CheckConnections(target, time.Now())
	ended := make(chan error, 1)
	go func() {
		_, _, err := lost.Reader.Next()
		ended <- err
	}()
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(lostStatementTimeout):
		t.Fatal("the lost statement still waits for a response")
	}
	_, _, err = slow.Reader.Next()
	qt.Assert(t, err, qt.IsNil)
	p.Release(lost, false)
	p.Release(slow, false)
}
