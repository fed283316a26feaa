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

// linkFault is a fault of the connections through a proxy.
type linkFault struct {
	delay time.Duration
	// stallToTarget and stallToVM forward no bytes in a direction; the connections
	// stay open.
	stallToTarget, stallToVM bool
	// reject closes new connections at once.
	reject bool
	// vms limits the fault to the connections of these VMs; empty is all.
	vms []string
}

// appliesTo reports whether the fault affects the connections of a VM.
func (t linkFault) appliesTo(vm string) bool {
	return len(t.vms) == 0 || slices.Contains(t.vms, vm)
}

// proxy forwards TCP connections to an address and injects faults.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   linkFault
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

// set replaces the fault.
func (p *proxy) set(t linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = t
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset resets all connections.
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

func (p *proxy) state() (linkFault, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed, p.closed
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// greeting returns the first line of a connection, and the VM that a CONNECT line
// to a member names. Connections to the store name none.
func greeting(in *bufio.Reader) (line []byte, vm string, err error) {
	line, err = in.ReadBytes('\n')
	if f := strings.Fields(string(line)); len(f) > 2 && f[0] == "CONNECT" {
		vm = f[2]
	}
	return line, vm, err
}

func (p *proxy) forward(inbound net.Conn) {
	defer inbound.Close()
	in := bufio.NewReader(inbound)
	first, vm, err := greeting(in)
	if err != nil {
		return
	}
	if t, _, _ := p.state(); t.reject && t.appliesTo(vm) {
		return
	}
	outbound, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer outbound.Close()
	p.mu.Lock()
	p.conns[inbound], p.conns[outbound] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(outbound, io.MultiReader(bytes.NewReader(first), in), vm, func(t linkFault) bool { return t.stallToTarget }, done)
	go p.copy(inbound, outbound, vm, func(t linkFault) bool { return t.stallToVM }, done)
	<-done
	p.mu.Lock()
	delete(p.conns, inbound)
	delete(p.conns, outbound)
	p.mu.Unlock()
}

// copy forwards bytes in one direction, delayed by the faults that apply.
func (p *proxy) copy(to io.Writer, from io.Reader, vm string, stalls func(linkFault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil || !p.awaitPassage(vm, stalls) {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// awaitPassage waits while a fault stalls a direction, then for the delay. It
// returns false once the proxy is closed.
func (p *proxy) awaitPassage(vm string, stalls func(linkFault) bool) bool {
	for {
		t, changed, closed := p.state()
		if closed {
			return false
		}
		if !t.appliesTo(vm) {
			return true
		}
		if !stalls(t) {
			time.Sleep(t.delay)
			return true
		}
		<-changed
	}
}
