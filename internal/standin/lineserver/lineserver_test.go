package lineserver_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/lineserver"
)

// A connection that its caller has closed must not count towards the limit, even
// while a commit on it waits for a replica. In the soak test of forwarded work (seed
// 121), seven such connections reached a member's limit of 7 and were never released.
func TestClosedConnectionIsNotCounted(t *testing.T) {
	is := is.New(t)
	members := []chervilladder.Registered{{ID: "m0", Service: "s", Slots: 2}, {ID: "m1", Service: "s", Slots: 2}}
	k, err := cluster.New(cluster.Config{Service: "s", Members: members, Confirmations: 1, Connections: 1})
	is.NoErr(err)
	k.Set("m1", func(f *cluster.Faults) { f.NoReplication = true }) // confirms nothing
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- lineserver.Serve(t.Context(), l, k, "m0") }()
	connect := func() (net.Conn, string) {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		_, err = fmt.Fprint(c, "CONNECT s test m0\r\n")
		is.NoErr(err)
		line, err := bufio.NewReader(c).ReadString('\n')
		is.NoErr(err)
		return c, line
	}
	c, greeting := connect()
	is.True(strings.HasPrefix(greeting, "READY"))
	_, err = fmt.Fprint(c, "QUERY w1 WRITE 1a4 x\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the commit waits for a replica
	c.Close()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		again, greeting := connect()
		again.Close()
		if strings.HasPrefix(greeting, "READY") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the new connection is still rejected: %s", greeting)
		}
	}
}
