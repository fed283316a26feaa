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

// A repeated answer has the same bytes and is sent whole between other answers.
func TestRepeatedAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	k, err := cluster.New(cluster.Config{Service: "agenda", Members: []chervilladder.Registered{{ID: "m0", Service: "agenda", Slots: 1}}})
	is.NoErr(err)
	go func() { _ = lineserver.Serve(t.Context(), l, k, "m0") }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	in := bufio.NewReader(conn)
	_, err = fmt.Fprint(conn, "CONNECT agenda vm m0\r\n")
	is.NoErr(err)
	_, err = in.ReadString('\n')
	is.NoErr(err)

	k.Set("m0", func(f *cluster.Faults) {
		f.Repeat = cluster.RandomRepeats(cluster.RandomRepeatsConfig{Seed: 1, Share: 1, MaxDelay: 3 * time.Millisecond})
	})
	statements := []string{"READ x", "WRITE x", "BEGIN", "READ y", "COMMIT", "SET a b", "PARSE s READ q", "EXECUTE s z", "RESET", "ROLLBACK", "STATUS", "COMMIT"}
	const rounds = 20
	for n := range rounds * len(statements) {
		_, err = fmt.Fprintf(conn, "QUERY q%d %s\r\n", n, statements[n%len(statements)])
		is.NoErr(err)
		time.Sleep(time.Duration(n%3) * time.Millisecond)
	}
	seen := make(map[string]int)
	for range 2 * rounds * len(statements) {
		answer := ""
		for !strings.Contains(answer, "READY") {
			line, err := in.ReadString('\n')
			is.NoErr(err)
			answer += line
		}
		is.True(strings.Count(answer, "COMPLETE")+strings.Count(answer, "ERROR") == 1) // one answer
		seen[answer]++
	}
	for answer, times := range seen {
		if times%2 != 0 {
			t.Errorf("%q was received %d times", answer, times)
		}
	}
}
