package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address, until it is cut.
type proxy struct {
	l    net.Listener
	addr string // of the proxy
	to   string

	mu    sync.Mutex
	cut   bool
	conns map[*net.TCPConn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, addr: l.Addr().String(), to: to, conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// add adds a connection. It resets it and returns false while the proxy is cut.
func (p *proxy) add(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

func (p *proxy) forward(c *net.TCPConn) {
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	target, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	t := target.(*net.TCPConn)
	if !p.add(t) {
		return
	}
	defer p.remove(t)
	go func() {
		_, _ = io.Copy(t, c)
		_ = t.CloseWrite()
	}()
	_, _ = io.Copy(c, t)
}

func (p *proxy) remove(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// setCut resets all connections, and those that follow, until it is called with false.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}
