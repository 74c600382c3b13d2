package messenger_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/transport/messenger"
)

// pausableConn holds back what it has received while it is paused.
type pausableConn struct {
	net.Conn
	pause *sync.RWMutex // Write-locked during a pause.
}

func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pause.RLock()
	defer c.pause.RUnlock()
	return n, err
}

// Guards against a request that is given up although its peer, which was paused, answers within its deadline.
func TestRequestOfAPausedPeerIsAnswered(t *testing.T) {
	const pauseTime, deadline = 650 * time.Millisecond, 3 * time.Second
	_, peer := start(t, "b", echo)
	a, _ := start(t, "a", echo)
	a.Ping = time.Hour
	var pause sync.RWMutex
	a.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return pausableConn{conn, &pause}, err
	}
	a.SetPeers([]messenger.Peer{peer})
	_, err := a.Request(context.Background(), "b", question{"one"})
	qt.Assert(t, err, qt.IsNil)

	pause.Lock()
	time.AfterFunc(pauseTime, pause.Unlock)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body, err := a.Request(ctx, "b", question{"two"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, reply{"two"})
}
