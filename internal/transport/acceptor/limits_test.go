package acceptor_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/framer"
	"oleanderpulley/internal/transport/acceptor"
)

// Guards against unbounded memory use by a large batch.
func TestLargeMessageIsRefused(t *testing.T) {
	f := startFixture(t, func(f *fixture) { f.MaxBatchSize = 1000 })
	c := connect(t, f.address, nil)
	qt.Assert(t, query(t, c, "SELECT '"+strings.Repeat("x", 500)+"'"), qt.Contains, "ready I")
	qt.Assert(t, query(t, c, "SELECT '"+strings.Repeat("x", 1000)+"'"), qt.Contains, "FATAL 54000")
}

// Guards against a client that connects and never completes the startup.
func TestStartupIsBounded(t *testing.T) {
	f := startFixture(t, func(f *fixture) { f.StartupTimeout = 50 * time.Millisecond })
	nc := connectTCP(t, f.address)
	nc.Write([]byte{0, 0, 0, 50})
	readUntilClosed(t, nc)
	nc = connectTCP(t, f.address)
	nc.Write([]byte{0, 0, 0x27, 0x11}) // 10,001 bytes.
	readUntilClosed(t, nc)
}

// Guards against an idle client that holds a connection and locks in an open
// transaction forever.
func TestIdleTransactionEnds(t *testing.T) {
	f := startFixture(t, func(f *fixture) { f.TransactionIdle = 50 * time.Millisecond })
	c := connect(t, f.address, nil)
	query(t, c, "BEGIN")
	qt.Assert(t, strings.Join(c.read(), " "), qt.Contains, "FATAL 25P03")
}

// Guards against a client that does not read its response and occupies a
// backend connection.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	row := framer.AppendFrame(nil, 'D', append([]byte{0, 1, 0, 0, 0x40, 0}, make([]byte, 0x4000)...)...)
	response := framer.AppendFrame(framer.AppendText(bytes.Repeat(row, 2000), 'C', "SELECT 2000"), 'Z', 'I')
	set := framer.AppendFrame(framer.AppendText(nil, 'C', "SET"), 'Z', 'I')
	a := newTestAcceptor(startScriptedServer(t, func(sql string) []byte {
		if strings.HasPrefix(sql, "SET") {
			return set
		}
		return response
	}).Addr().String())
	closed := make(chan struct{})
	a.WriteTimeout = 50 * time.Millisecond
	a.Log = zerolog.New(writerFunc(func(line []byte) {
		if bytes.Contains(line, []byte("backend_connection_closed")) {
			close(closed)
		}
	}))
	c := connect(t, serveAcceptor(t, a), nil)
	c.conn.Write(framer.AppendText(nil, 'Q', "SELECT v FROM t"))
	select {
	case <-closed:
	case <-timeLimit(t).Done():
		t.Fatal("the backend connection is still in use")
	}
}

type writerFunc func(line []byte)

func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

// Guards against keys sent in clear text outside the loopback interface, and
// against a failure of startup over TLS.
func TestTLS(t *testing.T) {
	l, err := net.Listen("tcp", ":0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, errors.Is((&acceptor.Acceptor{}).Serve(l), acceptor.ErrTLSRequired), qt.IsTrue)
	l.Close()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	f := startFixture(t, func(f *fixture) {
		f.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	})
	ctx := timeLimit(t)
	conn, err := pgx.Connect(ctx, strings.Replace(f.url(), "disable", "require", 1))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "INSERT INTO t VALUES (3, 'three')")
	qt.Assert(t, err, qt.IsNil)
	var slept *string
	qt.Assert(t, conn.QueryRow(ctx, "SELECT pg_sleep(0.1)").Scan(&slept), qt.IsNil)
	var v string
	qt.Assert(t, conn.QueryRow(ctx, "SELECT v FROM t WHERE id = 3").Scan(&v), qt.IsNil)
	qt.Assert(t, v, qt.Equals, "three")
}
