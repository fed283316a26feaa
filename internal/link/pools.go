package link

import (
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// PoolsConfig configures Pools.
type PoolsConfig struct {
	Board  *blackboard.Board
	Linker chervilladder.Linker
	// Log receives a line for each answer that an upstream repeats; none if nil.
	Log *logrus.Logger
}

// Pools holds the pool of each upstream.
type Pools struct {
	c     PoolsConfig
	pools blackboard.Table[chervilladder.UpstreamID, entry]
}

// entry holds the pool of an upstream's latest registration.
type entry struct {
	current blackboard.Section[*Pool]
}

// NewPools returns an empty set of pools.
func NewPools(c PoolsConfig) *Pools { return &Pools{c: c} }

// For returns the pool of an upstream's registration. It retires the pool of an earlier
// one.
func (p *Pools) For(u chervilladder.Registered) *Pool {
	e := p.pools.Get(u.ID)
	if pool := e.current.Load(); pool != nil && pool.serves(u) {
		return pool
	}
	var retired *Pool
	e.current.Update(func(old *Pool) *Pool {
		retired = nil
		if old != nil && old.serves(u) {
			return old
		}
		retired = old
		return &Pool{upstream: u, linker: p.c.Linker, log: p.c.Log, limit: p.limit(u)}
	})
	if retired != nil {
		retired.Retire()
	}
	return e.current.Load()
}

// serves reports whether the pool belongs to this registration of the upstream.
func (p *Pool) serves(u chervilladder.Registered) bool {
	return p.upstream.Address == u.Address && p.upstream.Born.Equal(u.Born)
}

// connectionShare is the divisor of an upstream's connections that gives the maximum
// of one VM. Load is uneven, so the maxima add up to more than the total.
const connectionShare = 3

// minConnections is the lowest limit of connections of a VM.
const minConnections = 3

func (p *Pools) limit(u chervilladder.Registered) int {
	routing := p.c.Board.Routing.Load()
	if routing == nil {
		return minConnections
	}
	return max(minConnections, routing.Services[u.Service].MaxConnections/connectionShare)
}

// SetConnectionCount records how many connections all VMs together have open to an
// upstream, and closes an idle one if there are too many.
func (p *Pools) SetConnectionCount(u chervilladder.Registered, connections int) {
	routing := p.c.Board.Routing.Load()
	if routing == nil {
		return
	}
	if limit := routing.Services[u.Service].MaxConnections; limit > 0 {
		p.For(u).SetUsage(connections * 100 / limit)
	}
}

// Remove retires and removes the pool of an upstream that is no longer registered.
func (p *Pools) Remove(id chervilladder.UpstreamID) {
	e, ok := p.pools.Find(id)
	if !ok {
		return
	}
	if pool := e.current.Load(); pool != nil {
		pool.Retire()
	}
	p.pools.Remove(id)
}
