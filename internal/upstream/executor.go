package upstream

import (
	"context"
	"sync"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// Config configures an Executor.
type Config struct {
	Board *blackboard.Board
}

// Executor runs work on the databases that this VM owns.
type Executor struct {
	board *blackboard.Board
	pools blackboard.Table[poolKey, poolSlot]
}

// poolKey identifies a pool. Reads on a primary have a pool of their own, on whose
// connections the upstream refuses writes.
type poolKey struct {
	upstream chervilladder.UpstreamID
	readOnly bool
}

// poolSlot holds the pool of one upstream at its current address.
type poolSlot struct {
	mu   sync.Mutex
	pool *Pool
}

// New returns an executor.
func New(c Config) *Executor {
	return &Executor{board: c.Board}
}

var _ chervilladder.Executor = (*Executor)(nil)

// Open queues work for a database that this VM owns.
func (e *Executor) Open(ctx context.Context, w chervilladder.Work) (chervilladder.Exchange, error) {
	refuse := func(r chervilladder.Reason) error {
		return &chervilladder.NotRunError{Database: w.Database, Reason: r}
	}
	catalogue := e.board.Catalogue.Load()
	if catalogue == nil {
		return nil, refuse(chervilladder.ReasonUnknownDB)
	}
	db, ok := catalogue.Databases[w.Database]
	if !ok {
		return nil, refuse(chervilladder.ReasonUnknownDB)
	}
	if e.board.Owners.Load().ByDatabase[w.Database] != e.board.Self.ID {
		return nil, refuse(chervilladder.ReasonNotOwner)
	}
	class, ok := catalogue.Services[db.Service].Classes[w.Class]
	if !ok {
		return nil, refuse(chervilladder.ReasonUnknownDB)
	}
	x := &exchange{
		ctx:           ctx,
		executor:      e,
		state:         e.board.Databases.Get(db.ID),
		work:          w,
		class:         class,
		waitCancelled: make(chan struct{}),
	}
	if w.Access == chervilladder.AccessRead {
		x.poll = x.state.Polls.Request()
	}
	return x, x.queue()
}

// Run retires the pools of upstreams that are leaving, have another address or are no
// longer configured, until the context ends. That closes their idle connections at once,
// and each other one when it is returned.
func (e *Executor) Run(ctx context.Context) error {
	for {
		catalogue, changed := e.board.Catalogue.Watch()
		if catalogue != nil {
			e.retire(serving(catalogue))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// serving returns the addresses of the upstreams that aren't leaving.
func serving(c *chervilladder.Catalogue) map[chervilladder.UpstreamID]chervilladder.Address {
	addresses := make(map[chervilladder.UpstreamID]chervilladder.Address)
	for _, db := range c.Databases {
		for _, u := range db.Upstreams {
			if !u.Leaving {
				addresses[u.ID] = u.Address
			}
		}
	}
	return addresses
}

func (e *Executor) retire(serving map[chervilladder.UpstreamID]chervilladder.Address) {
	for key, slot := range e.pools.All() {
		slot.retireUnless(serving[key.upstream])
	}
}

// pool returns the pool of an upstream at its address in the current configuration.
func (e *Executor) pool(db chervilladder.DatabaseID, id chervilladder.UpstreamID, readOnly bool) *Pool {
	catalogue := e.board.Catalogue.Load()
	if catalogue == nil || catalogue.Databases[db] == nil {
		return nil
	}
	for _, u := range catalogue.Databases[db].Upstreams {
		if u.ID == id {
			return e.pools.Get(poolKey{id, readOnly}).at(u)
		}
	}
	return nil
}

func (s *poolSlot) at(u chervilladder.Upstream) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool == nil || !s.pool.serves(u) {
		s.replace(NewPool(u))
	}
	return s.pool
}

// retireUnless retires the pool if its upstream is leaving or has another address than
// the given one.
func (s *poolSlot) retireUnless(a chervilladder.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool != nil && (s.pool.upstream.Leaving || s.pool.upstream.Address != a) {
		s.replace(nil)
	}
}

func (s *poolSlot) replace(next *Pool) {
	if s.pool != nil {
		s.pool.Retire()
	}
	s.pool = next
}
