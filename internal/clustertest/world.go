// Package clustertest runs VMs in front of a stand-in of a replicated service,
// all in one process and in virtual time. Tests run it in a synctest bubble.
package clustertest

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
	"github.com/chervilladder/chervilladder/internal/control/failover"
	"github.com/chervilladder/chervilladder/internal/control/forwarding"
	"github.com/chervilladder/chervilladder/internal/control/locality"
	"github.com/chervilladder/chervilladder/internal/control/reachability"
	"github.com/chervilladder/chervilladder/internal/control/statuspoll"
	"github.com/chervilladder/chervilladder/internal/identity"
	"github.com/chervilladder/chervilladder/internal/link"
	"github.com/chervilladder/chervilladder/internal/session"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
)

// The service and its databases, one for each kind of freshness that reads can
// require.
const (
	Service     = chervilladder.ServiceID("agenda")
	PrimaryDB   = chervilladder.DatabaseID("bookings")
	BoundedDB   = chervilladder.DatabaseID("lookups")
	OwnWritesDB = chervilladder.DatabaseID("changes")
)

// MaxAge is the maximum staleness that reads of BoundedDB and OwnWritesDB accept.
const MaxAge = 1500 * time.Millisecond

// DrainLimit is the time after which a draining member must receive no more work.
const DrainLimit = 7 * time.Second

// Config configures a World.
type Config struct {
	// Members is the number of members of the service; zero means three.
	Members int
	// VMs is the number of VMs; zero means one.
	VMs int
	// Lag is the replication lag of the replicas.
	Lag time.Duration
	// Connections is the connection limit of each member.
	Connections int
	// Adjust, if set, changes the stand-in's configuration.
	Adjust func(*cluster.Config)
	// DataCentres is the number of data centres over which VMs and members are spread in
	// turn; zero means that none has a name.
	DataCentres int
	// Log, if set, is called for each line that a VM logs.
	Log logrus.Hook
	// Era is the era that the store tells at first; zero if it tells none.
	Era chervilladder.Era
	// Observer, if set, receives the commands of all VMs.
	Observer session.Observer
}

// World is a set of VMs in front of a stand-in service.
type World struct {
	Cluster *cluster.Cluster
	Record  *LeadershipRecord
	VMs     []*VM
	// OnForward, if set, is called before work is forwarded to another VM.
	OnForward func()
	config    Config
	// mu guards VMs while StartAnew replaces one.
	mu sync.Mutex
}

// VM is one VM. Its linker, record and promoter can simulate faults.
type VM struct {
	Board    *blackboard.Board
	Sessions *session.Manager
	Pools    *link.Pools
	Linker   *FaultyLinker
	Record   *FaultyRecord
	Promoter *FaultyPromoter
	// listed is what the store lists when the VM reads it anew.
	listed blackboard.Section[[]chervilladder.Registered]
	// ResignLeadership is closed to make the VM give up failover leadership.
	ResignLeadership chan struct{}
	// suspended is the total time for which the VM was suspended, in
	// nanoseconds.
	suspended atomic.Int64
	process   *process
	peerSide
	failovers    *failover.Controller
	reachability *reachability.Controller
	cancel       context.CancelFunc
	ended        chan error
	// stopping is set by the first call of Stop; stopped is closed at its end.
	stopping atomic.Bool
	stopped  chan struct{}
}

// New returns a world whose VMs are running and have had a second to find the
// primary. It is stopped at the end of the test.
func New(t *testing.T, c Config) *World {
	t.Helper()
	if c.Members == 0 {
		c.Members = 3
	}
	if c.VMs == 0 {
		c.VMs = 1
	}
	cc := cluster.Config{
		Service: Service, Confirmations: 1, Connections: c.Connections, Queue: 24, Lag: c.Lag,
		ConnectTime: 12 * time.Millisecond, WorkTime: 5 * time.Millisecond, PromoteTime: 600 * time.Millisecond,
	}
	for i := range c.Members {
		m := Member(i)
		m.DataCentre = c.dataCentre(i)
		cc.Members = append(cc.Members, m)
	}
	if c.Adjust != nil {
		c.Adjust(&cc)
	}
	standin, err := cluster.New(cc)
	if err != nil {
		t.Fatal(err)
	}
	w := &World{Cluster: standin, Record: &LeadershipRecord{era: c.Era}, config: c}
	for i := range c.VMs {
		w.VMs = append(w.VMs, w.start(t, i, cc.Members))
	}
	for _, vm := range w.VMs {
		w.listPeers(vm)
	}
	t.Cleanup(w.stop)
	time.Sleep(time.Second)
	return w
}

// dataCentre returns the data centre of the i-th VM or member.
func (c Config) dataCentre(i int) chervilladder.DataCentreID {
	if c.DataCentres == 0 {
		return ""
	}
	return chervilladder.DataCentreID(fmt.Sprint("dc-", i%c.DataCentres))
}

// listPeers tells a VM which other VMs there are.
func (w *World) listPeers(vm *VM) {
	peers := w.peersOf(vm)
	members := make(map[chervilladder.VMID]blackboard.Member, len(peers))
	for _, peer := range peers {
		members[peer.ID] = blackboard.Member{VM: peer}
	}
	vm.Board.Members.Store(blackboard.Membership{Members: members})
	vm.Board.Peers.Store(peers)
}

// peersOf returns the other VMs. Their ids serve as addresses.
func (w *World) peersOf(vm *VM) []chervilladder.VM {
	var list []chervilladder.VM
	for _, other := range w.running() {
		if other.Board.Self.ID != vm.Board.Self.ID {
			list = append(list, chervilladder.VM{ID: other.Board.Self.ID, DataCentre: other.Board.Self.DataCentre, Peer: chervilladder.Address(other.Board.Self.ID)})
		}
	}
	return list
}

// Member returns the registration of a member.
func Member(i int) chervilladder.Registered {
	return chervilladder.Registered{
		ID: MemberID(i), Service: Service, Address: chervilladder.Address(fmt.Sprintf("10.0.0.%d:1", i+1)), Slots: 3,
	}
}

// MemberID returns the id of a member.
func MemberID(i int) chervilladder.UpstreamID {
	return chervilladder.UpstreamID(fmt.Sprintf("m%d", i))
}

func (w *World) start(t *testing.T, i int, members []chervilladder.Registered) *VM {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(t.Output())
	}
	log.AddHook(vmName(fmt.Sprintf("vm-%d", i)))
	if w.config.Log != nil {
		log.AddHook(w.config.Log)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runs := &process{}
	vm := &VM{
		process: runs,
		Board:   blackboard.New(chervilladder.VM{ID: chervilladder.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: w.config.dataCentre(i)}),
		Linker:  &FaultyLinker{process: runs, Linker: cluster.Linker{Cluster: w.Cluster}},
		Record:  &FaultyRecord{process: runs, Record: w.Record}, Promoter: &FaultyPromoter{process: runs, Promoter: cluster.Promoter{Cluster: w.Cluster}},
		ResignLeadership: make(chan struct{}), cancel: cancel, ended: make(chan error, 1), stopped: make(chan struct{}),
	}
	vm.Board.Routing.Store(routing())
	vm.Board.Bounds.Store(chervilladder.Bounds{UpstreamDrain: DrainLimit})
	vm.SetMembers(members...)
	vm.Pools = link.NewPools(link.PoolsConfig{Board: vm.Board, Linker: vm.Linker})
	authenticator, err0 := identity.New(identity.Config{Board: vm.Board, Log: log})
	sessions, err1 := session.New(session.Config{Board: vm.Board, Pools: vm.Pools, Log: log, Clock: vm.clock, Remote: peerNetwork{w: w}, Authenticator: authenticator, Observer: w.config.Observer})
	poller, err2 := statuspoll.New(statuspoll.Config{Board: vm.Board, Pools: vm.Pools, Log: log, Clock: vm.clock})
	failovers, err3 := failover.New(failover.Config{
		Board: vm.Board, Record: vm.Record, Promoter: vm.Promoter, Linker: vm.Linker, Pools: vm.Pools,
		PeerDemoter: peerNetwork{w: w}, PeerCandidacies: peerNetwork{w: w, from: runs}, Log: log, Clock: vm.clock, Leave: vm.ResignLeadership,
	})
	reachabilityController, err4 := reachability.New(reachability.Config{Board: vm.Board, Peers: peerNetwork{w: w}, Log: log, Clock: vm.clock, Leaving: vm.RejectPeers.Load})
	forwardingController, err5 := forwarding.New(forwarding.Config{Board: vm.Board, Connections: peerNetwork{w: w}, Peers: peerNetwork{w: w}, Log: log, Clock: vm.clock})
	localityController, err6 := locality.New(locality.Config{Board: vm.Board, Log: log, Clock: vm.clock})
	for _, err := range []error{err0, err1, err2, err3, err4, err5, err6} {
		if err != nil {
			t.Fatal(err)
		}
	}
	vm.Sessions, vm.failovers, vm.reachability = sessions, failovers, reachabilityController
	vm.forwardedExecutor, err1 = session.NewForwardedExecutor(session.ForwardedExecutorConfig{Manager: sessions, Leaving: vm.RejectPeers.Load})
	if err1 != nil {
		t.Fatal(err1)
	}
	var controllers errgroup.Group
	controllers.Go(func() error { return poller.Run(ctx) })
	controllers.Go(func() error { return failovers.Run(ctx) })
	controllers.Go(func() error { return reachabilityController.Run(ctx) })
	controllers.Go(func() error { return forwardingController.Run(ctx) })
	controllers.Go(func() error { return localityController.Run(ctx) })
	controllers.Go(func() error { return vm.readOnRequest(ctx) })
	go func() { vm.ended <- controllers.Wait() }()
	return vm
}

func (w *World) stop() {
	for _, vm := range w.running() {
		vm.Stop()
	}
}

// Restart stops all VMs and starts new ones, which have no state but the given
// registered members. Unlike New, it does not wait.
func (w *World) Restart(t *testing.T, members ...chervilladder.Registered) {
	t.Helper()
	w.stop()
	for i := range w.VMs {
		w.VMs[i] = w.start(t, i, members)
	}
	for _, vm := range w.VMs {
		w.listPeers(vm)
	}
}

// Stop stops the VM.
func (vm *VM) Stop() {
	if vm.stopping.Swap(true) {
		<-vm.stopped // no mutex: one that waits for a mutex holds up virtual time
		return
	}
	defer close(vm.stopped)
	vm.shutDown()
}

func (vm *VM) shutDown() {
	vm.cancel()
	if err := <-vm.ended; err != nil {
		panic(err)
	}
	for _, e := range vm.Board.Upstreams.Load().ByID {
		vm.Pools.Remove(e.ID)
	}
}

// Suspend simulates that the VM was suspended for a time: its clock advances, its
// timers don't.
func (vm *VM) Suspend(d time.Duration) { vm.suspended.Add(int64(d)) }

// clock returns the time of the VM's clock, which includes suspensions.
func (vm *VM) clock() time.Time {
	return time.Now().Add(time.Duration(vm.suspended.Load()) + vm.process.frozenFor())
}

// vmName is a log hook that adds a VM's name to each line.
type vmName string

// Levels returns all levels.
func (vmName) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the name.
func (n vmName) Fire(e *logrus.Entry) error {
	e.Data["vm"] = string(n)
	return nil
}

func routing() *chervilladder.Routing {
	r := &chervilladder.Routing{
		Version: 1, Revision: chervilladder.StoreRevision{Revision: 1},
		Routes:          make(map[chervilladder.DatabaseID]chervilladder.Route),
		Services:        map[chervilladder.ServiceID]chervilladder.ServiceLimits{Service: {ID: Service, MaxConnections: 22, SyncReplicas: 1}},
		TransactionIdle: 3 * time.Second,
	}
	for db, f := range map[chervilladder.DatabaseID]chervilladder.Freshness{
		PrimaryDB: chervilladder.FreshPrimary, BoundedDB: chervilladder.FreshBounded, OwnWritesDB: chervilladder.FreshOwnWrites,
	} {
		r.Routes[db] = chervilladder.Route{
			Database: db, Service: Service, Freshness: f, Timeout: time.Second, Target: 400 * time.Millisecond,
			MaxAge: MaxAge, Attempts: 2,
		}
	}
	return r
}

// SetAccounts gives all VMs a configuration in which the accounts hold the given keys.
// Without keys, it names no accounts.
func (w *World) SetAccounts(keys map[chervilladder.Key]chervilladder.AccountID) {
	for _, vm := range w.VMs {
		r := *vm.Board.Routing.Load()
		r.Revision.Revision++
		r.Accounts = nil
		if keys != nil {
			salt := chervilladder.NewKeySalt()
			r.Accounts = &chervilladder.Accounts{Salt: salt, Keys: make(map[chervilladder.KeyDigest]chervilladder.AccountID)}
			for k, id := range keys {
				r.Accounts.Keys[salt.Digest(k)] = id
			}
		}
		vm.Board.Routing.Store(&r)
	}
}

// Open opens a session at a VM.
func (w *World) Open(t *testing.T, vm int, db chervilladder.DatabaseID) chervilladder.Session {
	t.Helper()
	s, err := w.VMs[vm].Sessions.Open(db, "caller")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
