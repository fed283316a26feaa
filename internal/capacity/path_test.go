package capacity_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/caller"
	"github.com/chervilladder/chervilladder/internal/peer"
	"github.com/chervilladder/chervilladder/internal/route"
)

// The statements of the benchmarks. Each worker writes a row with an id of its
// own, so that no worker waits for another.
const (
	readSQL  = "SELECT id FROM filings WHERE id = '%d'"
	writeSQL = "INSERT INTO filings (id, v) VALUES ('%d', 'x') ON CONFLICT DO UPDATE SET v = EXCLUDED.v"
)

// BenchmarkStatement measures a statement sent by pgx directly to the stand-in,
// through a VM that owns the database, and through a VM that forwards it to the
// owner. The CPU time is that of pgx and the VMs together.
func BenchmarkStatement(b *testing.B) {
	paths := []struct {
		name string
		open func(*testing.B, *child) (chervilladder.Address, *owner)
	}{
		{"direct", openDirect},
		{"owner", openOwner},
		{"forwarded", openForwarded},
	}
	for _, p := range paths {
		for _, sql := range []struct{ name, text string }{{"read", readSQL}, {"write", writeSQL}} {
			for _, callers := range []int{1, 16} {
				b.Run(fmt.Sprintf("%s/path=%s/callers=%d", sql.name, p.name, callers), func(b *testing.B) {
					c := startChild(b, roleUpstreams, 1)
					address, o := p.open(b, c)
					benchmarkStatement(b, address, o, sql.text, callers)
				})
			}
		}
	}
}

func benchmarkStatement(b *testing.B, a chervilladder.Address, o *owner, sql string, callers int) {
	var steps []func() error
	for i := range callers {
		c := connect(b, a)
		text := fmt.Sprintf(sql, i)
		step := func() error {
			_, err := c.Exec(b.Context(), text)
			return err
		}
		check(b, step())
		steps = append(steps, step)
	}
	var statuses uint64
	if o != nil {
		statuses = o.statuses.Load()
	}
	b.ReportAllocs()
	cpuBefore := cpuTime()
	eachInParallel(b, steps)
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	if o != nil {
		b.ReportMetric(float64(o.statuses.Load()-statuses)/float64(b.N), "statuses/op")
	}
}

func connect(b *testing.B, a chervilladder.Address) *pgx.Conn {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", a, databaseID(0)))
	check(b, err)
	b.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// openDirect returns the address of the primary, once the group has one.
func openDirect(b *testing.B, c *child) (chervilladder.Address, *owner) {
	newOwner(b, c.Upstreams, dialUpstream).stop()
	return c.Upstreams[0].Address, nil
}

// openOwner returns the callers' address of a VM that owns the database.
func openOwner(b *testing.B, c *child) (chervilladder.Address, *owner) {
	o := newOwner(b, c.Upstreams, dialUpstream)
	return startCallerServer(b, o.board, o.executor), o
}

// openForwarded returns the callers' address of a VM that forwards to the owner.
func openForwarded(b *testing.B, c *child) (chervilladder.Address, *owner) {
	o := newOwner(b, c.Upstreams, dialUpstream)
	board, remote := startPeer(b, o)
	return startCallerServer(b, board, route.New(route.Config{Board: board, Remote: remote})), o
}

// startPeer starts an owner's server for peers. It returns the blackboard of
// another VM, which knows the owner, and that VM's client for peers.
func startPeer(b *testing.B, o *owner) (*blackboard.Board, *peer.Client) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	serve(b, peer.NewServer(peer.ServerConfig{Board: o.board, Executor: o.executor, Listener: l}))
	board := blackboard.New(chervilladder.VM{ID: "vm-entry"})
	board.Catalogue.Store(o.board.Catalogue.Load())
	board.Owners.Store(o.board.Owners.Load())
	vm := chervilladder.VM{ID: ownerVM, Peer: chervilladder.Address(l.Addr().String())}
	board.Members.Store(blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{ownerVM: {VM: vm}}})
	remote := peer.NewClient(board)
	b.Cleanup(func() { _ = remote.Close() })
	return board, remote
}

// startCallerServer starts a VM's server for callers, and returns its address.
func startCallerServer(b *testing.B, board *blackboard.Board, x chervilladder.Executor) chervilladder.Address {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(b, err)
	s, err := caller.New(caller.Config{Board: board, Executor: x, Listener: l, Log: discardLogger()})
	check(b, err)
	serve(b, s)
	return chervilladder.Address(l.Addr().String())
}

// serve runs a component until the benchmark ends.
func serve(b *testing.B, component interface{ Run(context.Context) error }) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = component.Run(ctx)
	}()
	b.Cleanup(func() {
		stop()
		<-done
	})
}

// BenchmarkExchange measures a statement without the callers' protocol: the queue,
// the exchange with the upstream and the proof that the claim holds; if
// forwarded, also the peers' protocol.
func BenchmarkExchange(b *testing.B) {
	for _, path := range []string{"owner", "forwarded"} {
		for _, access := range []chervilladder.Access{chervilladder.AccessRead, chervilladder.AccessWrite} {
			for _, workers := range []int{1, 16, 128} {
				name := fmt.Sprintf("%s/path=%s/workers=%d", accessName(access), path, workers)
				b.Run(name, func(b *testing.B) { benchmarkExchange(b, path == "forwarded", access, workers) })
			}
		}
	}
}

func accessName(a chervilladder.Access) string {
	if a == chervilladder.AccessRead {
		return "read"
	}
	return "write"
}

func benchmarkExchange(b *testing.B, forwarded bool, access chervilladder.Access, workers int) {
	o, open := newOwnerAndOpener(b, forwarded)
	sql := readSQL
	if access == chervilladder.AccessWrite {
		sql = writeSQL
	}
	var steps []func() error
	for i := range workers {
		payload, err := (&pgproto3.Query{String: fmt.Sprintf(sql, i)}).Encode(nil)
		check(b, err)
		batch := chervilladder.Batch{Payload: payload, Commits: access == chervilladder.AccessWrite}
		session := chervilladder.SessionID(fmt.Sprint(i))
		step := func() error { return exchange(b.Context(), open, work(session, access), batch) }
		check(b, step())
		steps = append(steps, step)
	}
	b.ReportAllocs()
	statuses, cpuBefore := o.statuses.Load(), cpuTime()
	eachInParallel(b, steps)
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(o.statuses.Load()-statuses)/float64(b.N), "statuses/op")
}

// newOwnerAndOpener starts an owner. It returns the owner and the function that
// opens exchanges at it, forwarded by another VM or directly.
func newOwnerAndOpener(b *testing.B, forwarded bool) (*owner, opener) {
	b.Helper()
	o := newOwner(b, startChild(b, roleUpstreams, 1).Upstreams, dialUpstream)
	if !forwarded {
		return o, o.executor.Open
	}
	board, remote := startPeer(b, o)
	return o, route.New(route.Config{Board: board, Remote: remote}).Open
}

func work(session chervilladder.SessionID, access chervilladder.Access) chervilladder.Work {
	now := time.Now()
	return chervilladder.Work{
		Database: databaseID(0), Service: serviceID, Class: classID, Session: session,
		Access: access, Arrived: now, Deadline: now.Add(10 * time.Second),
	}
}

type opener func(context.Context, chervilladder.Work) (chervilladder.Exchange, error)

// exchange runs one batch.
func exchange(ctx context.Context, open opener, w chervilladder.Work, batch chervilladder.Batch) error {
	x, err := open(ctx, w)
	if err != nil {
		return err
	}
	defer x.Close()
	if err := x.Send(batch); err != nil {
		return err
	}
	for {
		r, err := x.Recv()
		if err != nil || r.Last {
			return err
		}
	}
}
