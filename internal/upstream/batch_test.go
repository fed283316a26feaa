package upstream

import (
	"bytes"
	"flag"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// The seed is fixed for repeatable runs; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// The chunks of an answer, joined, must be what the upstream sent, for all sizes of its
// messages and of the pieces that arrive. Each connection carries several answers.
func TestChunksJoinToTheAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		client, server := net.Pipe()
		c := newConn(chervilladder.Upstream{ID: "u"}, client)
		defer c.Close()
		for range rapid.IntRange(1, 3).Draw(rt, "answers") {
			want := drawAnswer(rt)
			piece := rapid.SampledFrom([]int{997, 5_000, 40_000}).Draw(rt, "piece")
			go func() {
				for rest := want; len(rest) > 0; {
					n := min(piece, len(rest))
					_, _ = server.Write(rest[:n])
					rest = rest[n:]
				}
			}()
			got, parts := []byte(nil), [][]byte(nil)
			for last := false; !last; {
				k, err := c.next(false)
				is.NoErr(err)
				parts = append(parts, k.payload, k.success)
				last = k.last
			}
			for _, p := range parts {
				got = append(got, p...)
			}
			is.True(bytes.Equal(got, want))
		}
	})
}

// drawAnswer returns the answer to a batch of several statements.
func drawAnswer(rt *rapid.T) []byte {
	var out []byte
	add := func(m pgproto3.BackendMessage) {
		var err error
		if out, err = m.Encode(out); err != nil {
			rt.Fatal(err)
		}
	}
	for range rapid.IntRange(1, 4).Draw(rt, "statements") {
		for range rapid.IntRange(0, 6).Draw(rt, "rows") {
			size := rapid.SampledFrom([]int{0, 10, 500, 9_000, 40_000}).Draw(rt, "size")
			add(&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), size)}})
		}
		tag := rapid.SampledFrom([]string{"SELECT 1", "COMMIT", "INSERT 0 1"}).Draw(rt, "tag")
		add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return out
}
