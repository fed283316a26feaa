package lab

import (
	"bytes"
	"net"
	"sync"
)

// Proxy passes connections of one VM on to the platform.
type Proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// pattern is what the connection that is waited for sends; seen is closed then, and the
	// connection goes silent if silence is set.
	pattern []byte
	seen    chan struct{}
	silence bool
}

// NewProxy returns a proxy to an address.
func NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Abort("%v", err)
	}
	p := &Proxy{listener: l, target: target}
	go p.accept()
	return p
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy.
func (p *Proxy) Close() { p.listener.Close() }

// SilenceNext has the connection on which a text is sent next go silent, in both
// directions and for good, if silence is set. The channel is closed then. All other
// connections work.
func (p *Proxy) SilenceNext(text string, silence bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pattern, p.seen, p.silence = []byte(text), make(chan struct{}), silence
	return p.seen
}

// silences reports whether the connection that sends these bytes is to go silent.
func (p *Proxy) silences(b []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pattern == nil || !bytes.Contains(b, p.pattern) {
		return false
	}
	p.pattern = nil
	close(p.seen)
	return p.silence
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // the proxy has ended
		}
		go p.pass(from)
	}
}

// pass copies a connection in both directions.
func (p *Proxy) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	silent := make(chan struct{})
	go func() {
		defer from.Close()
		copyBytes(from, to, func([]byte) bool {
			select {
			case <-silent:
				return false
			default:
				return true
			}
		})
	}()
	copyBytes(to, from, func(b []byte) bool {
		if p.silences(b) {
			close(silent)
		}
		select {
		case <-silent:
			return false
		default:
			return true
		}
	})
}

// copyBytes copies until an end closes. It drops what passes does not let through.
func copyBytes(to, from net.Conn, passes func([]byte) bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if !passes(b[:n]) {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
