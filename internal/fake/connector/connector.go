package connector

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Network is a set of listeners, by address. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener that accepts the connections of Dial to the address
// until it is closed. It returns an error for an address that has a listener.
func (n *Network) Listen(address string) (net.Listener, error) {
	bound, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Wrapf(syscall.EADDRINUSE, "listening on %s", address)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: bound, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener of the address. It waits until the connection is
// accepted. It fails as if the connection was refused if no server listens.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connecting to %s", address)
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connecting to %s", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connecting to %s", address)
	}
}

type listener struct {
	network  *Network
	address  net.Addr
	accepted chan net.Conn
	closed   chan struct{}
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address.String()] != l {
		return net.ErrClosed
	}
	delete(l.network.listeners, l.address.String())
	close(l.closed)
	return nil
}

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr {
	return l.address
}
