package soaker

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxy forwards TCP connections and harms them on demand.
type proxy struct {
	address  string
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

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "starting a proxy")
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

func (p *proxy) forward(in net.Conn) {
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

func (p *proxy) copy(c *pair, to, from net.Conn) {
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
func (p *proxy) each(f func(c *pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}

// silence makes the open connections pass nothing on, for good.
func (p *proxy) silence() {
	p.each(func(c *pair) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = true
	})
}

// reset closes the open connections.
func (p *proxy) reset() {
	p.each(func(c *pair) {
		_ = c.in.Close()
		_ = c.out.Close()
	})
}

// setCut makes new connections silent as well, or ends that.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	if cut {
		p.silence()
	} else {
		p.reset()
	}
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// get reports whether the address answers 200.
func get(address string) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get(address)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
