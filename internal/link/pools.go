package link

import (
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/decide/hosting"
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

// usableConnections is the percentage of an upstream's connections that the VMs which
// host its service divide among themselves for the work of client accounts. A VM keeps
// what it has open, so the maxima must not add up to more than the total.
const usableConnections = 80

func (p *Pools) limit(u chervilladder.Registered) int {
	routing := p.c.Board.Routing.Load()
	if routing == nil {
		return minConnections
	}
	total := routing.Services[u.Service].MaxConnections
	if routing.Accounts == nil {
		return max(minConnections, total/connectionShare)
	}
	fleet := hosting.Fleet{VMs: len(p.c.Board.Members.Load().Candidates()) + 1, Services: len(routing.Services), Connections: total}
	return max(minConnections, min(total/connectionShare, total*usableConnections/100/fleet.Hosts()))
}

// SetConnectionCount records how many connections all VMs together have open to an
// upstream, and closes an idle one if there are too many. With client accounts, it also
// adapts the pool's limit to the number of VMs.
func (p *Pools) SetConnectionCount(u chervilladder.Registered, connections int) {
	routing := p.c.Board.Routing.Load()
	if routing == nil {
		return
	}
	if routing.Accounts != nil {
		p.For(u).SetLimit(p.limit(u))
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
