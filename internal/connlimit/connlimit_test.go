package connlimit_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder/internal/connlimit"
)

// serve accepts connections and keeps them open.
func serve(t *testing.T, closeOldest bool) (dial func() net.Conn, accepted <-chan net.Conn) {
	t.Helper()
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := connlimit.New(connlimit.Config{Listener: tcp, CloseOldest: closeOldest, Max: func() int { return 2 }})
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	t.Cleanup(func() { l.Close() })
	return func() net.Conn {
		c, err := net.Dial("tcp", tcp.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}, conns
}

func TestOldestConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	dial, accepted := serve(t, true)
	first := dial()
	dial()
	dial()
	for range 3 {
		<-accepted
	}
	_, err := first.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// A connection beyond the limit is closed; once another one has ended, the next is taken.
func TestNewestConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	dial, accepted := serve(t, false)
	dial()
	dial()
	one := <-accepted
	<-accepted
	_, err := dial().Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(one.Close())
	dial()
	<-accepted
}
