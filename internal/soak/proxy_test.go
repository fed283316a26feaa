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

// linkFault is a fault of the connections through a faultProxy.
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
func (f linkFault) appliesTo(vm string) bool {
	return len(f.vms) == 0 || slices.Contains(f.vms, vm)
}

// faultProxy forwards TCP connections to an address and injects faults.
type faultProxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

// startProxy starts a proxy that ends with the test.
func startProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
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

func (p *faultProxy) address() string { return p.listener.Addr().String() }

// set replaces the fault.
func (p *faultProxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset closes all connections with a TCP reset.
func (p *faultProxy) reset() {
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

func (p *faultProxy) state() (linkFault, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed, p.closed
}

func (p *faultProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// readFirstLine reads the first line of a connection. If it is the CONNECT line of a
// connection to a member, its third field names the VM; connections to the store name
// none.
func readFirstLine(in *bufio.Reader) (line []byte, vm string, err error) {
	line, err = in.ReadBytes('\n')
	if f := strings.Fields(string(line)); len(f) > 2 && f[0] == "CONNECT" {
		vm = f[2]
	}
	return line, vm, err
}

func (p *faultProxy) forward(inbound net.Conn) {
	defer inbound.Close()
	in := bufio.NewReader(inbound)
	first, vm, err := readFirstLine(in)
	if err != nil {
		return
	}
	if f, _, _ := p.state(); f.reject && f.appliesTo(vm) {
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
	go p.copy(outbound, io.MultiReader(bytes.NewReader(first), in), vm, func(f linkFault) bool { return f.stallToTarget }, done)
	go p.copy(inbound, outbound, vm, func(f linkFault) bool { return f.stallToVM }, done)
	<-done
	p.mu.Lock()
	delete(p.conns, inbound)
	delete(p.conns, outbound)
	p.mu.Unlock()
}

// copy forwards bytes in one direction, delayed or stalled by the faults that apply.
func (p *faultProxy) copy(to io.Writer, from io.Reader, vm string, stalls func(linkFault) bool, done chan<- struct{}) {
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
func (p *faultProxy) awaitPassage(vm string, stalls func(linkFault) bool) bool {
	for {
		f, changed, closed := p.state()
		if closed {
			return false
		}
		if !f.appliesTo(vm) {
			return true
		}
		if !stalls(f) {
			time.Sleep(f.delay)
			return true
		}
		<-changed
	}
}
