package upstream

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// runBatch runs a batch and returns the error with which its answer ends.
func runBatch(c *Conn, messages ...pgproto3.FrontendMessage) error {
	var b chervilladder.Batch
	for _, m := range messages {
		var err error
		if b.Payload, err = m.Encode(b.Payload); err != nil {
			return err
		}
	}
	if err := c.send(b); err != nil {
		return err
	}
	for {
		k, err := c.next(false)
		if err != nil || k.last {
			return err
		}
	}
}

// runExtended runs a batch of the extended protocol.
func runExtended(_ context.Context, c *Conn) error {
	return runBatch(c, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
}

// The second answer to one request, which arrives after the next one was sent, must not
// be taken for the answer to that.
func TestRepeatedAnswerIsNotTakenForTheNextOne(t *testing.T) {
	requests := map[string]struct {
		status byte
		run    func(ctx context.Context, c *Conn) error
	}{
		"simple batch":   {'I', func(_ context.Context, c *Conn) error { return runBatch(c, &pgproto3.Query{String: "SELECT 1"}) }},
		"extended batch": {'I', runExtended},
		"in a block":     {'T', runExtended},
		"failed block":   {'E', runExtended},
		"settings": {'I', func(ctx context.Context, c *Conn) error {
			c.settingsChanged = true
			return c.apply(ctx, nil)
		}},
		"claim": {'I', func(ctx context.Context, c *Conn) error { return c.bind(ctx, 7) }},
		"probe": {'I', func(_ context.Context, c *Conn) error {
			c.idleSince = time.Now().Add(-time.Minute)
			return c.probe()
		}},
		"transaction id before": {'T', func(_ context.Context, c *Conn) error {
			return c.queryTransaction(chervilladder.TransactionIDBefore)
		}},
		"transaction id within": {'I', func(ctx context.Context, c *Conn) error {
			if err := c.queryTransaction(chervilladder.TransactionIDWithin); err != nil {
				return err
			}
			return runExtended(ctx, c)
		}},
		"status": {'I', func(ctx context.Context, c *Conn) error {
			m := &Member{conn: c, columns: []string{"n"}}
			_, err := m.Status(ctx)
			return err
		}},
	}
	for name, request := range requests {
		for _, early := range []int{0, inTheMiddle} {
			t.Run(fmt.Sprintf("%s/%d messages early", name, early), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				near, far := net.Pipe()
				c := newConn(chervilladder.Upstream{ID: "u"}, near)
				defer c.Close()
				server := newRepeater(far)
				server.status = request.status
				go server.serve()
				run := func(request func(context.Context, *Conn) error) error {
					c.setDeadline(time.Now().Add(requestTimeout))
					return request(ctx, c)
				}
				is.NoErr(run(request.run))
				is.NoErr(run(request.run)) // nothing is repeated yet
				server.early = early
				var lost *chervilladder.UpstreamLostError
				is.True(errors.As(run(request.run), &lost))
				is.True(errors.Is(run(runExtended), io.ErrClosedPipe)) // the connection is closed
			})
		}
	}
}

// The answer to a connection's start must not be taken for a part of a later one either.
func TestRepeatedStartIsNotTakenForAnAnswer(t *testing.T) {
	for _, early := range []int{0, inTheMiddle} {
		t.Run(fmt.Sprintf("%d messages early", early), func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			c := newConn(chervilladder.Upstream{ID: "u"}, near)
			defer c.Close()
			c.setDeadline(time.Now().Add(requestTimeout))
			server := newRepeater(far)
			server.addStart()
			server.last, server.answer, server.early = server.answer, nil, early
			go server.serve()
			var lost *chervilladder.UpstreamLostError
			is.True(errors.As(runBatch(c, &pgproto3.Query{String: "SELECT 1"}), &lost))
		})
	}
}

// An upstream that doesn't describe parameters which a statement doesn't use must be served
// too.
func TestUpstreamThatReturnsNoNumberIsServed(t *testing.T) {
	is := is.New(t)
	pool := listen(t, func(r *repeater) { r.unnumbered = true })
	t.Cleanup(pool.CloseIdle)
	for n := range 3 {
		sql := fmt.Sprint("query ", n)
		text, err := queryText(t.Context(), pool, sql)
		is.NoErr(err)
		is.Equal(text, sql)
	}
}

// listenRepeating starts an upstream that sends some answers again, and returns a pool of
// connections to it.
func listenRepeating(t *testing.T, seed uint64) *Pool {
	t.Helper()
	n := uint64(0)
	return listen(t, func(r *repeater) {
		r.random = rand.New(rand.NewPCG(seed, n))
		n++
	})
}

// listen starts an upstream, each connection of which is set up by a function, and returns
// a pool of connections to it.
func listen(t *testing.T, setUp func(*repeater)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r := newRepeater(conn)
			setUp(r)
			go r.startAndServe()
		}
	}()
	return NewPool(chervilladder.Upstream{ID: "u", Address: chervilladder.Address(l.Addr().String())})
}

// queryText runs a simple query and returns the text in the last row of its answer.
func queryText(ctx context.Context, p *Pool, sql string) (string, error) {
	c, err := p.Get(ctx, 0)
	if err != nil {
		return "", err
	}
	c.setDeadline(time.Now().Add(requestTimeout))
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err == nil {
		err = c.send(chervilladder.Batch{Payload: out})
	}
	var answer []byte
	for last := false; err == nil && !last; {
		var k chunk
		k, err = c.next(false)
		answer, last = append(answer, k.payload...), k.last
	}
	if err != nil {
		c.Close()
		return "", err
	}
	p.Put(c)
	return lastText(answer)
}

// lastText returns the second column of the last row of an answer.
func lastText(answer []byte) (string, error) {
	text := ""
	for len(answer) > 0 {
		size := 1 + int(binary.BigEndian.Uint32(answer[1:]))
		if answer[0] == 'D' {
			var d pgproto3.DataRow
			if err := d.Decode(answer[headerBytes:size]); err != nil {
				return "", err
			}
			text = string(d.Values[1])
		}
		answer = answer[size:]
	}
	return text, nil
}

// While an upstream sends one answer in twelve again, up to 200 ms late, each query that
// succeeds must have its own answer.
func TestLateRepeatsReachNoOtherQuery(t *testing.T) {
	const workers, queries = 8, 150
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			pool := listenRepeating(t, seed)
			t.Cleanup(pool.CloseIdle)
			var right, wrong, failed atomic.Int64
			var all sync.WaitGroup
			for w := range workers {
				all.Go(func() {
					for q := range queries {
						sql := fmt.Sprintf("query %d of worker %d", q, w)
						switch text, err := queryText(t.Context(), pool, sql); {
						case err != nil:
							failed.Add(1)
						case text != sql:
							wrong.Add(1)
						default:
							right.Add(1)
						}
						time.Sleep(time.Millisecond)
					}
				})
			}
			all.Wait()
			t.Logf("%d right, %d wrong, %d failed", right.Load(), wrong.Load(), failed.Load())
			is.Equal(wrong.Load(), int64(0))
			is.True(right.Load() > workers*queries/2)
		})
	}
}

// After an answer that belongs to another request, a read is retried. A write isn't, and
// is reported as unknown or, within a transaction, as rolled back.
func TestOutcomeAfterARepeatedAnswer(t *testing.T) {
	lost := func(t *testing.T, x *exchange) error {
		near, far := net.Pipe()
		c := newConn(chervilladder.Upstream{ID: "u"}, near)
		c.setDeadline(time.Now().Add(requestTimeout))
		server := newRepeater(far)
		go server.serve()
		if err := runExtended(t.Context(), c); err != nil {
			t.Fatal(err)
		}
		server.early = 0
		x.ctx, x.conn, x.state, x.class = t.Context(), c, new(blackboard.Database), &chervilladder.Class{}
		x.work.Deadline = time.Now().Add(requestTimeout)
		x.sent = true
		out, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
		if err == nil {
			err = c.send(chervilladder.Batch{Payload: out})
		}
		if err != nil {
			t.Fatal(err)
		}
		_, err = x.next()
		return err
	}
	t.Run("read", func(t *testing.T) {
		is := is.New(t)
		x := &exchange{work: chervilladder.Work{Access: chervilladder.AccessRead}}
		is.True(x.safeToRetry(lost(t, x)))
	})
	t.Run("write", func(t *testing.T) {
		is := is.New(t)
		x := &exchange{}
		err := lost(t, x)
		is.True(!x.safeToRetry(err))
		var unknown *chervilladder.UnknownError
		is.True(errors.As(x.fail(err), &unknown))
	})
	t.Run("in a transaction", func(t *testing.T) {
		is := is.New(t)
		x := &exchange{open: true}
		err := lost(t, x)
		is.True(!x.safeToRetry(err))
		var notRun *chervilladder.NotRunError
		is.True(errors.As(x.fail(err), &notRun))
		is.Equal(notRun.Reason, chervilladder.ReasonRolledBack)
	})
}
