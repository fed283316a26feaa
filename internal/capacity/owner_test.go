package capacity_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/group"
	"github.com/chervilladder/chervilladder/internal/upstream"
)

// ownerVM is the VM that owns all databases in a benchmark.
const ownerVM chervilladder.VMID = "vm-owner"

// The only service in a benchmark, and its only class.
const (
	serviceID chervilladder.ServiceID = "service"
	classID   chervilladder.ClassID   = "class"
)

// owner is a VM that owns databases.
type owner struct {
	board    *blackboard.Board
	executor *upstream.Executor
	statuses atomic.Uint64
	// stop stops the controller of the databases' groups.
	stop func()
}

// newOwner returns an owner once it has claimed all databases.
func newOwner(b *testing.B, upstreams []chervilladder.Upstream, dial group.Dialer) *owner {
	b.Helper()
	o := &owner{board: blackboard.New(chervilladder.VM{ID: ownerVM})}
	o.executor = upstream.New(upstream.Config{Board: o.board})
	c := catalogue(upstreams)
	o.board.Catalogue.Store(c)
	o.board.Owners.Store(owners(c))
	groups, err := group.New(group.Config{Board: o.board, Dial: o.counting(dial), Log: discardLogger()})
	check(b, err)
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = groups.Run(ctx)
	}()
	o.stop = func() {
		stop()
		<-done
	}
	b.Cleanup(o.stop)
	for id := range c.Databases {
		o.awaitOpen(b, id)
	}
	return o
}

func (o *owner) awaitOpen(b *testing.B, id chervilladder.DatabaseID) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	_, err := o.board.Databases.Get(id).Await(ctx, func(g blackboard.Group) bool {
		return g.Open() && len(g.Members) == membersPerGroup
	})
	check(b, err)
}

func catalogue(upstreams []chervilladder.Upstream) *chervilladder.Catalogue {
	c := &chervilladder.Catalogue{
		Revision:  1,
		Databases: make(map[chervilladder.DatabaseID]*chervilladder.Database),
		Services: map[chervilladder.ServiceID]*chervilladder.Service{serviceID: {
			ID:           serviceID,
			DefaultClass: classID,
			Classes: map[chervilladder.ClassID]*chervilladder.Class{
				classID: {ID: classID, Target: time.Second, Deadline: 10 * time.Second},
			},
		}},
	}
	for _, u := range upstreams {
		db, ok := c.Databases[u.Database]
		if !ok {
			db = &chervilladder.Database{ID: u.Database, Service: serviceID}
			c.Databases[u.Database] = db
		}
		db.Upstreams = append(db.Upstreams, u)
	}
	return c
}

func owners(c *chervilladder.Catalogue) blackboard.Owners {
	o := blackboard.Owners{ByDatabase: make(map[chervilladder.DatabaseID]chervilladder.VMID)}
	for id := range c.Databases {
		o.ByDatabase[id] = ownerVM
	}
	return o
}

// counting returns a dialer whose members count their status requests.
func (o *owner) counting(dial group.Dialer) group.Dialer {
	return func(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
		m, err := dial(ctx, u)
		if err != nil {
			return nil, err
		}
		return &countingMember{Member: m, statuses: &o.statuses}, nil
	}
}

type countingMember struct {
	chervilladder.Member
	statuses *atomic.Uint64
}

// Status counts and forwards the request.
func (m *countingMember) Status(ctx context.Context) (chervilladder.MemberStatus, error) {
	m.statuses.Add(1)
	return m.Member.Status(ctx)
}

func dialUpstream(ctx context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
	return upstream.DialMember(ctx, u)
}

// upstreamsOf returns the upstreams of a number of databases. Nothing listens at
// their addresses.
func upstreamsOf(databases int) []chervilladder.Upstream {
	var list []chervilladder.Upstream
	for n := range databases {
		for i := range membersPerGroup {
			db := databaseID(n)
			list = append(list, chervilladder.Upstream{ID: upstreamID(db, i), Database: db, Address: "127.0.0.1:1", Slots: 3, Connections: 20})
		}
	}
	return list
}

// fakeMember responds at once, as a member of a group whose state never changes.
// The first member of each group is its primary.
type fakeMember struct {
	status chervilladder.MemberStatus
}

func dialFake(_ context.Context, u chervilladder.Upstream) (chervilladder.Member, error) {
	m := &fakeMember{status: chervilladder.MemberStatus{
		Upstream: u.ID, Role: chervilladder.RoleReplica, Term: 1, LogTerm: 1, Received: 1, Replayed: 1,
	}}
	if u.ID == upstreamID(u.Database, 0) {
		m.status.Role, m.status.Claim = chervilladder.RolePrimary, 1
	}
	return m, nil
}

// Status returns the member's status.
func (m *fakeMember) Status(context.Context) (chervilladder.MemberStatus, error) {
	return m.status, nil
}

// TakeClaim returns the member's status.
func (m *fakeMember) TakeClaim(context.Context, chervilladder.VMID) (chervilladder.MemberStatus, error) {
	return m.status, nil
}

// AcceptTerm returns the member's status.
func (m *fakeMember) AcceptTerm(context.Context, chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.status, nil
}

// Promote returns the member's status.
func (m *fakeMember) Promote(context.Context, chervilladder.Ballot) (chervilladder.MemberStatus, error) {
	return m.status, nil
}

// Follow does nothing.
func (m *fakeMember) Follow(context.Context, chervilladder.Ballot, chervilladder.UpstreamID) error {
	return nil
}

// Close does nothing.
func (m *fakeMember) Close() {}
