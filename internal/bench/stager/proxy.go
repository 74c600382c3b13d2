package stager

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Proxy forwards TCP connections and harms them on demand.
type Proxy struct {
	Address  string // Where it listens.
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*pair]struct{}
	cut   bool // New connections are accepted and pass nothing on.
	delay time.Duration
}

// pair is one forwarded connection.
type pair struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

// NewProxy starts a proxy on loopback in front of the target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "starting a proxy")
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, conns: map[*pair]struct{}{}}
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
	c := &pair{in: in, out: out}
	p.mu.Lock()
	c.silent = p.cut
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, out, in) })
	copies.Go(func() { p.copy(c, in, out) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) copy(c *pair, to, from net.Conn) {
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
		silent := c.silent
		c.mu.Unlock()
		if silent {
			continue // The bytes are lost, the connection stays open.
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// each calls f for all open connections.
func (p *Proxy) each(f func(c *pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}

// Silence makes the open connections pass nothing on, for good.
func (p *Proxy) Silence() {
	p.each(func(c *pair) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = true
	})
}

// Reset closes the open connections.
func (p *Proxy) Reset() {
	p.each(func(c *pair) {
		_ = c.in.Close()
		_ = c.out.Close()
	})
}

// SetCut makes new connections silent as well, or ends that.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	if cut {
		p.Silence()
	} else {
		p.Reset()
	}
}

// SetDelay delays the bytes of each direction.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Close ends the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// CutFor makes all connections silent for the span, then resets them.
func (p *Proxy) CutFor(span time.Duration) {
	p.SetCut(true)
	time.Sleep(span)
	p.SetCut(false)
}
