package link_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// linker opens links that do nothing, or returns refusal if it is set.
type linker struct {
	opened  int
	open    int
	refusal error
}

type fakeLink struct {
	chervilladder.Link
	of     *linker
	closed bool
}

func (l *linker) Open(context.Context, chervilladder.Registered, chervilladder.AccountID) (chervilladder.Link, error) {
	time.Sleep(12 * time.Millisecond)
	if l.refusal != nil {
		return nil, l.refusal
	}
	l.opened++
	l.open++
	return &fakeLink{of: l}, nil
}

func (f *fakeLink) Close() {
	if !f.closed {
		f.closed = true
		f.of.open--
	}
}

// pools returns the pools of a VM and an upstream that accepts nine connections, three
// of them from this VM.
func pools(l *linker) (*link.Pools, chervilladder.Registered) {
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	board.Routing.Store(&chervilladder.Routing{Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{"s": {MaxConnections: 9}}})
	return link.NewPools(link.PoolsConfig{Board: board, Linker: l}), chervilladder.Registered{ID: "u", Service: "s", Address: "10.0.0.1:1"}
}

func get(t *testing.T, p *link.Pool, values map[string]string) *link.Conn {
	t.Helper()
	c, err := p.Get(t.Context(), "", values)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestPoolReusesConnectionsAndKeepsItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linker{}
		all, u := pools(l)
		p := all.For(u)
		a, b, c := get(t, p, nil), get(t, p, nil), get(t, p, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, "", nil)
		is.True(errors.Is(err, link.ErrFull))
		time.AfterFunc(50*time.Millisecond, b.Release)
		is.Equal(get(t, p, nil), b) // Get waited for its release
		a.Discard()
		is.Equal(l.open, 2)
		d := get(t, p, nil)
		is.Equal(l.opened, 4)
		for _, x := range []*link.Conn{b, c, d} {
			x.Release()
		}
		all.Remove(u.ID)
		is.Equal(l.open, 0)
		_, err = p.Get(t.Context(), "", nil)
		is.True(errors.Is(err, link.ErrRetired))
	})
}

func TestPoolPrefersTheValuesOfTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all, u := pools(&linker{})
		p := all.For(u)
		es, en := map[string]string{"lang": "es"}, map[string]string{"lang": "en"}
		a, b := get(t, p, es), get(t, p, en)
		is.Equal(len(a.SetupCommands(es, nil)), 1)
		is.Equal(len(b.SetupCommands(en, nil)), 1)
		a.Release()
		b.Release()
		is.Equal(get(t, p, es), a)
		is.Equal(len(a.SetupCommands(es, nil)), 0)
		a.Release()
		all.Remove(u.ID)
	})
}

func TestSetupCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all, u := pools(&linker{})
		c := get(t, all.For(u), nil)
		kinds := func(values map[string]string, statement *link.Prepared) (list []chervilladder.CommandKind) {
			for _, cmd := range c.SetupCommands(values, statement) {
				list = append(list, cmd.Kind)
			}
			return list
		}
		shape := &link.Prepared{Shape: "q2c", Access: chervilladder.AccessWrite}
		is.Equal(kinds(map[string]string{"a": "1"}, shape), []chervilladder.CommandKind{chervilladder.CommandSet, chervilladder.CommandPrepare})
		is.Equal(kinds(map[string]string{"a": "1"}, shape), nil)
		is.Equal(kinds(map[string]string{"a": "2"}, shape), []chervilladder.CommandKind{chervilladder.CommandSet})
		// A variable that the next session lacks is unset by a reset only, which
		// also removes the prepared statements.
		is.Equal(kinds(nil, shape), []chervilladder.CommandKind{chervilladder.CommandReset, chervilladder.CommandPrepare})
		other := &link.Prepared{Shape: "q2c", Access: chervilladder.AccessRead}
		is.True(other.Name() != shape.Name())
		is.Equal(kinds(nil, other), []chervilladder.CommandKind{chervilladder.CommandPrepare})
		// A command may have been refused, so nothing is known to be set or prepared.
		c.ForgetSetup()
		everything := []chervilladder.CommandKind{chervilladder.CommandReset, chervilladder.CommandSet, chervilladder.CommandPrepare}
		is.Equal(kinds(map[string]string{"a": "2"}, other), everything)
		is.Equal(kinds(map[string]string{"a": "2"}, other), nil)
		c.Discard()
	})
}

// After an upstream has refused a connection for its limit, no other is opened at once;
// Get waits for one of the VM's own connections.
func TestPoolAtConnectionLimitOfUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linker{}
		all, u := pools(l)
		p := all.For(u)
		a := get(t, p, nil)
		l.refusal = &chervilladder.LinkRefusedError{Upstream: u.ID, Code: chervilladder.CodeConnectionLimit}
		time.AfterFunc(100*time.Millisecond, a.Release)
		began := time.Now()
		is.Equal(get(t, p, nil), a)
		is.Equal(time.Since(began), 100*time.Millisecond)
		a.Discard()
		_, err := p.Get(t.Context(), "", nil)
		is.True(err != nil) // no connection to wait for
	})
}

func TestIdleConnectionsAreClosedNearTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linker{}
		all, u := pools(l)
		p := all.For(u)
		a, b := get(t, p, nil), get(t, p, nil)
		a.Release()
		b.Release()
		all.SetConnectionCount(u, 9)
		is.Equal(l.open, 2) // used too recently
		time.Sleep(time.Second)
		all.SetConnectionCount(u, 3)
		is.Equal(l.open, 2) // far from the limit
		c := get(t, p, nil)
		time.Sleep(time.Second)
		c.ReleaseAfterPoll() // a status request doesn't count as work
		all.SetConnectionCount(u, 9)
		is.Equal(l.open, 1)

		// Near the limit, a VM that has a connection opens no more.
		d := get(t, p, nil)
		time.AfterFunc(50*time.Millisecond, d.Release)
		is.Equal(get(t, p, nil), d)
		is.Equal(l.opened, 2)
		all.SetConnectionCount(u, 3)
		e := get(t, p, nil)
		is.Equal(l.opened, 3)
		d.Release()
		e.Release()
		all.Remove(u.ID)
	})
}

// The next status request would open a VM's only connection again, so closing it frees
// nothing for other VMs while some connections are left (regression: salas-valle with
// thirty VMs opened 2,682 connections for 9,490 requests).
func TestOnlyConnectionIsKeptUntilNearTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linker{}
		all, u := pools(l)
		p := all.For(u)
		for range 20 {
			get(t, p, nil).ReleaseAfterPoll()
			all.SetConnectionCount(u, 7) // 77 % of nine
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(l.opened, 1)
		get(t, p, nil).ReleaseAfterPoll()
		all.SetConnectionCount(u, 9)
		is.Equal(l.open, 0) // another VM may have none
	})
}

func TestConnectionsOlderThanAnUnansweredOneAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &linker{}
		all, u := pools(l)
		p := all.For(u)
		a, b := get(t, p, nil), get(t, p, nil)
		a.Release()
		time.Sleep(time.Second)
		sent := time.Now()
		time.Sleep(time.Second)
		b.Release()
		p.DiscardOlder(sent)
		is.Equal(get(t, p, nil), b)
		is.Equal(l.open, 1)
		b.Discard()
	})
}
