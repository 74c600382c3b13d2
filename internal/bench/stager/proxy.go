package stager

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Proxy forwards TCP connections and injects network faults: silent loss, resets
// and delay.
type Proxy struct {
	Address  string // Listen address.
	target   string
	listener net.Listener

	mu        sync.Mutex
	conns     map[*forwarding]struct{}
	blackhole bool          // New connections are accepted, but their data is discarded.
	delay     time.Duration // Before each chunk of data, in each direction.
}

// forwarding is one forwarded connection: the accepted connection and the one to the
// target.
type forwarding struct {
	in, out    net.Conn
	mu         sync.Mutex
	blackholed bool
}

// NewProxy starts a proxy on a free loopback port that forwards to the target
// address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "starting a proxy for %s", target)
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: map[*forwarding]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *Proxy) forward(in net.Conn) {
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &forwarding{in: in, out: out}
	p.mu.Lock()
	c.blackholed = p.blackhole
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyBytes(c, out, in) })
	copies.Go(func() { p.copyBytes(c, in, out) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) copyBytes(c *forwarding, to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		c.mu.Lock()
		blackholed := c.blackholed
		c.mu.Unlock()
		if blackholed {
			continue // Discards the data and keeps the connection open.
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// forEach calls f for each open connection.
func (p *Proxy) forEach(f func(c *forwarding)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}

// BlackholeOpen discards all further data on the connections that are open now. They
// stay open and never recover.
func (p *Proxy) BlackholeOpen() {
	p.forEach(func(c *forwarding) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.blackholed = true
	})
}

// Reset closes all open connections.
func (p *Proxy) Reset() {
	p.forEach(func(c *forwarding) {
		_ = c.in.Close()
		_ = c.out.Close()
	})
}

// SetBlackhole starts or ends a network partition. While it lasts, the data of open
// and new connections is discarded; at its end, all connections are closed.
func (p *Proxy) SetBlackhole(blackhole bool) {
	p.mu.Lock()
	p.blackhole = blackhole
	p.mu.Unlock()
	if blackhole {
		p.BlackholeOpen()
	} else {
		p.Reset()
	}
}

// SetDelay sets the delay of data in each direction.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// BlackholeFor partitions the network for the duration d and then closes all
// connections.
func (p *Proxy) BlackholeFor(d time.Duration) {
	p.SetBlackhole(true)
	time.Sleep(d)
	p.SetBlackhole(false)
}
