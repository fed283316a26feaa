package link_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/link"
)

// upstream is a linker to an upstream that accepts a limited number of connections. Each
// link knows for which account it was opened.
type upstream struct {
	limit int

	mu                    sync.Mutex
	opened, open, maxOpen int
	openFor               map[chervilladder.AccountID]int
	refused               int
}

type namedLink struct {
	chervilladder.Link
	of      *upstream
	account chervilladder.AccountID
	once    sync.Once
}

const connectTime = 12 * time.Millisecond

func (u *upstream) Open(ctx context.Context, _ chervilladder.Registered, account chervilladder.AccountID) (chervilladder.Link, error) {
	select {
	case <-time.After(connectTime):
	case <-ctx.Done():
		return nil, &chervilladder.UpstreamLostError{Err: ctx.Err()}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.limit {
		u.refused++
		return nil, &chervilladder.LinkRefusedError{Code: chervilladder.CodeConnectionLimit}
	}
	u.opened++
	u.open++
	u.maxOpen = max(u.maxOpen, u.open)
	if u.openFor == nil {
		u.openFor = make(map[chervilladder.AccountID]int)
	}
	u.openFor[account]++
	return &namedLink{of: u, account: account}, nil
}

// Send reports the account that the link was opened for to the command's sender.
func (l *namedLink) Send(_ time.Time, commands ...chervilladder.Command) error {
	for _, c := range commands {
		if c.Rest != string(l.account) {
			return errors.New("the connection was opened for " + string(l.account))
		}
	}
	return nil
}

func (l *namedLink) Close() {
	l.once.Do(func() {
		l.of.mu.Lock()
		defer l.of.mu.Unlock()
		l.of.open--
		l.of.openFor[l.account]--
	})
}

// accountPool returns the pool of a VM that is alone in front of an upstream.
func accountPool(u *upstream, connections int) (*link.Pools, chervilladder.Registered) {
	board := blackboard.New(chervilladder.VM{ID: "vm"})
	board.Routing.Store(&chervilladder.Routing{
		Accounts: &chervilladder.Accounts{},
		Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{"s": {MaxConnections: connections}},
	})
	return link.NewPools(link.PoolsConfig{Board: board, Linker: u}), chervilladder.Registered{ID: "u", Service: "s", Address: "10.0.0.1:1"}
}

func getFor(t *testing.T, p *link.Pool, account chervilladder.AccountID) *link.Conn {
	t.Helper()
	c, err := p.Get(t.Context(), account, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A pool that is full closes the connection that was idle longest, and the status
// requests keep theirs.
func TestLongestIdleConnectionOfAnotherAccountIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 100}
		all, registered := accountPool(u, 9) // three for this VM
		p := all.For(registered)
		getFor(t, p, "").ReleaseAfterPoll()
		for _, account := range []chervilladder.AccountID{"acme", "brook", "cress"} {
			time.Sleep(time.Millisecond)
			getFor(t, p, account).Release()
		}
		is.Equal(u.openFor, map[chervilladder.AccountID]int{"": 1, "acme": 0, "brook": 1, "cress": 1})
		getFor(t, p, "brook").Release()
		getFor(t, p, "dill").Release()
		is.Equal(u.openFor, map[chervilladder.AccountID]int{"": 1, "acme": 0, "brook": 1, "cress": 0, "dill": 1})
		is.Equal(u.opened, 5)
		for range 20 {
			getFor(t, p, "").ReleaseAfterPoll()
			all.SetConnectionCount(registered, 7)
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(u.open, 3)
		is.Equal(u.opened, 5) // they are kept until near the limit
		all.Remove(registered.ID)
		is.Equal(u.open, 0)
	})
}

// A waiter gets a returned connection of another account's by having its own opened in
// its place.
func TestWaiterIsServedByAnotherAccountsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 100}
		all, registered := accountPool(u, 9)
		p := all.For(registered)
		a, b, c := getFor(t, p, "acme"), getFor(t, p, "acme"), getFor(t, p, "brook")
		time.AfterFunc(30*time.Millisecond, a.Release)
		began := time.Now()
		d := getFor(t, p, "cress")
		is.Equal(time.Since(began), 30*time.Millisecond+connectTime)
		is.Equal(u.open, 3)
		for _, x := range []*link.Conn{b, c, d} {
			x.Release()
		}
		all.Remove(registered.ID)
		is.Equal(u.open, 0)
	})
}

// The status requests get a connection also while the accounts use up the limit.
func TestStatusRequestsAreNotStarvedByAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 100}
		all, registered := accountPool(u, 9)
		p := all.For(registered)
		for range 3 {
			getFor(t, p, "acme")
		}
		began := time.Now()
		poll := getFor(t, p, "")
		is.Equal(time.Since(began), connectTime)
		poll.ReleaseAfterPoll()
		is.Equal(getFor(t, p, ""), poll)
	})
}

// An upstream that is full because of other VMs refuses: the VM gives up one of its own
// connections rather than to let an account wait for them.
func TestConnectionIsReplacedAtTheUpstreamsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 2}
		all, registered := accountPool(u, 30)
		p := all.For(registered)
		getFor(t, p, "acme").Release()
		getFor(t, p, "brook").Release()
		began := time.Now()
		getFor(t, p, "cress").Release()
		is.Equal(time.Since(began), 2*connectTime)
		is.Equal(u.openFor, map[chervilladder.AccountID]int{"acme": 0, "brook": 1, "cress": 1})
		all.Remove(registered.ID)
	})
}

// With many accounts of little demand, a VM stays within its share of the upstream's
// connections, so that no connection is refused.
func TestLimitsOfAccountsLeaveRoomForOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 70}
		var vms []*link.Pool
		var refresh []func()
		for range 4 {
			board := blackboard.New(chervilladder.VM{ID: "vm"})
			members := make(map[chervilladder.VMID]blackboard.Member)
			for _, id := range []chervilladder.VMID{"b", "c", "d"} {
				members[id] = blackboard.Member{VM: chervilladder.VM{ID: id}}
			}
			board.Members.Store(blackboard.Membership{Members: members})
			board.Routing.Store(&chervilladder.Routing{
				Accounts: &chervilladder.Accounts{},
				Services: map[chervilladder.ServiceID]chervilladder.ServiceLimits{"s": {MaxConnections: 70}},
			})
			all := link.NewPools(link.PoolsConfig{Board: board, Linker: u})
			registered := chervilladder.Registered{ID: "u", Service: "s", Address: "10.0.0.1:1"}
			vms = append(vms, all.For(registered))
			refresh = append(refresh, func() { all.SetConnectionCount(registered, u.open) })
		}
		for round := range 200 {
			for i, p := range vms {
				getFor(t, p, chervilladder.AccountID(rune('a'+(round*7+i)%79))).Release()
				refresh[i]()
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(u.refused, 0)
		is.True(u.maxOpen <= 56)
	})
}

// When more VMs join, a VM's limit falls and it closes what is beyond it.
func TestIdleConnectionsBeyondALowerLimitAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{limit: 100}
		all, registered := accountPool(u, 30)
		p := all.For(registered)
		var conns []*link.Conn
		for i := range 10 {
			conns = append(conns, getFor(t, p, chervilladder.AccountID(rune('a'+i))))
		}
		for _, c := range conns {
			c.Release()
		}
		for range 20 {
			p.SetLimit(6)
		}
		is.Equal(u.open, 6)
		all.Remove(registered.ID)
	})
}

// Whatever is opened, returned, discarded, waited for and given up: a connection serves
// the account that it was opened for only, and in the end none is left.
func TestConnectionsServeOneAccount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(rt, "upstream's limit")
		total := rapid.IntRange(3, 24).Draw(rt, "configured limit")
		seeds := rapid.SliceOfN(rapid.Uint64(), 2, 8).Draw(rt, "callers")
		var wrong error
		open := 0
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{limit: limit}
			all, registered := accountPool(u, total)
			p := all.For(registered)
			var callers sync.WaitGroup
			var mu sync.Mutex
			for _, seed := range seeds {
				callers.Go(func() {
					if err := useAtRandom(t.Context(), p, seed); err != nil {
						mu.Lock()
						defer mu.Unlock()
						wrong = err
					}
				})
			}
			callers.Wait()
			all.SetConnectionCount(registered, u.open)
			all.Remove(registered.ID)
			synctest.Wait()
			open = u.open
		})
		if wrong != nil {
			rt.Fatal(wrong)
		}
		if open != 0 {
			rt.Fatalf("%d connections were left open", open)
		}
	})
}

// useAtRandom gets connections of accounts and uses them. It returns an error if one of
// them belongs to another account.
func useAtRandom(ctx context.Context, p *link.Pool, seed uint64) error {
	accounts := []chervilladder.AccountID{"", "acme", "brook", "cress"}
	for range 30 {
		seed = seed*6364136223846793005 + 1442695040888963407
		choice := seed >> 33
		account := accounts[choice%uint64(len(accounts))]
		timeout, cancel := context.WithTimeout(ctx, time.Duration(choice/4%60)*time.Millisecond)
		c, err := p.Get(timeout, account, nil)
		cancel()
		if err != nil {
			continue
		}
		if err := c.Send(time.Time{}, chervilladder.Command{Kind: chervilladder.CommandRead, Rest: string(account)}); err != nil {
			return err
		}
		time.Sleep(time.Duration(choice/256%40) * time.Millisecond)
		if choice/16384%8 == 0 {
			c.Discard()
		} else {
			c.Release()
		}
	}
	return nil
}
