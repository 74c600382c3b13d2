package measurer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// chunk is data in flight in one direction of a delayed link.
type chunk struct {
	due  time.Time // When the data arrives at the other end.
	data []byte
	err  error // Ends the direction after the data; io.EOF for a regular close.
}

// maxChunksInFlight bounds the data in flight in one direction. At the limit, the
// sender blocks as it does on a full TCP window.
const maxChunksInFlight = 256

// dialDelayed connects to an address over a link with a delay in each
// direction. It returns a TCP connection rather than a wrapper, because the
// proxy inspects the sockets of its connections. Connection errors are returned
// no sooner than after a round trip.
func dialDelayed(ctx context.Context, network, address string, delay time.Duration) (net.Conn, error) {
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, err
	}
	var d net.Dialer
	target, err := d.DialContext(ctx, network, address)
	if err != nil || delay == 0 {
		return target, err
	}
	dialled, accepted, err := socketPair(ctx)
	if err != nil {
		_ = target.Close()
		return nil, err
	}
	go forwardDelayed(target, accepted, delay)
	go forwardDelayed(accepted, target, delay)
	return dialled, nil
}

// socketPair returns both ends of a new TCP connection on loopback: the one
// that dialled and the one that was accepted.
func socketPair(ctx context.Context) (dialled, accepted net.Conn, err error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "delayed link")
	}
	defer func() { _ = listener.Close() }()
	var d net.Dialer
	if dialled, err = d.DialContext(ctx, "tcp", listener.Addr().String()); err != nil {
		return nil, nil, errors.Wrap(err, "delayed link")
	}
	if accepted, err = listener.Accept(); err != nil {
		_ = dialled.Close()
		return nil, nil, errors.Wrap(err, "delayed link")
	}
	return dialled, accepted, nil
}

// forwardDelayed copies data in one direction, each chunk after the delay. When
// the source ends, it closes both connections, and resets the destination if
// the source ended with an error.
func forwardDelayed(to, from net.Conn, delay time.Duration) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(inFlight)
		for {
			data := make([]byte, 8<<10)
			n, err := from.Read(data)
			inFlight <- chunk{time.Now().Add(delay), data[:n], err}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range inFlight {
		time.Sleep(time.Until(c.due))
		if len(c.data) > 0 && !failed {
			_, err := to.Write(c.data)
			failed = err != nil
		}
		if c.err != nil && !errors.Is(c.err, io.EOF) && !errors.Is(c.err, net.ErrClosed) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		if c.err != nil || failed {
			_ = to.Close()
			_ = from.Close()
		}
	}
}
