package soak_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// trouble is what a proxy does to the connections through it.
type trouble struct {
	delay time.Duration
	// toServer and toClient stop passing bytes on in a direction; the
	// connections stay open.
	toServer, toClient bool
	// refuse closes new connections at once.
	refuse bool
	// only limits all this to the connections of some VMs; empty is all.
	only []string
}

// meets reports whether the connections of a VM are in trouble.
func (t trouble) meets(vm string) bool {
	return len(t.only) == 0 || slices.Contains(t.only, vm)
}

// proxy passes TCP connections on to an address.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble trouble
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

// startProxy starts a proxy that ends with the test.
func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept()
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the trouble.
func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(p.conns)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) now() (trouble, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble, p.changed, p.closed
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// greeting returns the first line that a connection sends to a member, and the
// VM that it names. Other connections send none that names one.
func greeting(in *bufio.Reader) (line []byte, vm string, err error) {
	line, err = in.ReadBytes('\n')
	if f := strings.Fields(string(line)); len(f) > 2 && f[0] == "CONNECT" {
		vm = f[2]
	}
	return line, vm, err
}

func (p *proxy) pass(client net.Conn) {
	defer client.Close()
	in := bufio.NewReader(client)
	first, vm, err := greeting(in)
	if err != nil {
		return
	}
	if t, _, _ := p.now(); t.refuse && t.meets(vm) {
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(server, io.MultiReader(bytes.NewReader(first), in), vm, func(t trouble) bool { return t.toServer }, done)
	go p.copy(client, server, vm, func(t trouble) bool { return t.toClient }, done)
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy passes bytes on in one direction while nothing holds them up.
func (p *proxy) copy(to io.Writer, from io.Reader, vm string, cut func(trouble) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil || !p.hold(vm, cut) {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) hold(vm string, cut func(trouble) bool) bool {
	for {
		t, changed, closed := p.now()
		if closed {
			return false
		}
		if !t.meets(vm) {
			return true
		}
		if !cut(t) {
			time.Sleep(t.delay)
			return true
		}
		<-changed
	}
}
