// Package soak_test runs the shipped daemon as several processes in front of
// stand-ins, injects faults from outside, and checks the guarantees against what
// callers and upstreams observe.
//
//	go test ./internal/soak                                  # the short run of CI
//	go test ./internal/soak -soak.seeds 50 -soak.for 20s -v  # by hand
package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/environment"
)

// service is the first service of all VMs.
const service = chervilladder.ServiceID("agenda")

// membersPerService is how many members of a service are up at the start.
const membersPerService = 3

// promoteTime is the time from a promotion order to when it takes effect.
const promoteTime = 400 * time.Millisecond

// serviceID returns the n-th service.
func serviceID(n int) chervilladder.ServiceID {
	if n == 0 {
		return service
	}
	return chervilladder.ServiceID(fmt.Sprintf("%s%d", service, n))
}

// databases are the databases, named by the consistency of their reads.
var databases = []string{"primary", "bounded", "read_your_writes"}

// maxAge is the maximum staleness that reads of the last two databases accept.
const maxAge = 1500 * time.Millisecond

// world is the system of one run and the faults in it.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	scale scale
	// cluster is the first of clusters, one for each service.
	cluster        *cluster.Cluster
	clusters       []*cluster.Cluster
	env            *environment.Environment
	storeProxy     *faultProxy
	cloudProxy     *faultProxy
	memberProxies  map[chervilladder.UpstreamID]*faultProxy
	vms            []*vm
	cancelStandins context.CancelFunc
	standinsEnded  chan error

	// pending counts the faults that are still to be reverted.
	pending sync.WaitGroup
	// drilling is set while the store is to come back from a copy.
	drilling atomic.Bool

	mu     sync.Mutex
	events []event
	// withdrawnAt is when the key of withdrawnCaller was withdrawn.
	withdrawnAt time.Time
}

// event is a fault, a restart or a note on an omitted fault. Its duration is zero if
// it is instantaneous.
type event struct {
	at       time.Time
	duration time.Duration
	text     string
}

func (e event) String() string {
	if e.duration == 0 {
		return e.at.Format("15:04:05.000 ") + e.text
	}
	return e.at.Format("15:04:05.000 ") + e.text + " for " + e.duration.String()
}

// vm is one VM. It keeps its address when its daemon is restarted.
type vm struct {
	w        *world
	name     string
	ip       string
	settings string
	log      *os.File
	// storeProxy is this VM's way to the store.
	storeProxy *faultProxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  <-chan struct{}
}

func memberID(i int) chervilladder.UpstreamID {
	return chervilladder.UpstreamID(fmt.Sprintf("m%d", i))
}

// listen returns an open listener, so that concurrent runs can't take its port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startWorld starts the stand-ins and the VMs, and waits until all are ready.
func startWorld(t *testing.T, seed uint64, s scale) *world {
	t.Helper()
	w := &world{t: t, scale: s, rng: rand.New(rand.NewPCG(seed, 1)), memberProxies: make(map[chervilladder.UpstreamID]*faultProxy), standinsEnded: make(chan error, 1)}
	announced := make(map[chervilladder.UpstreamID]chervilladder.Address)
	listeners := make(map[chervilladder.UpstreamID]net.Listener)
	var services []cluster.Config
	for n := range max(1, s.services) {
		c := cluster.Config{
			Service: serviceID(n), Confirmations: 1, Connections: s.connections, Queue: 24, Lag: 40 * time.Millisecond,
			ConnectTime: 2 * time.Millisecond, WorkTime: cmp.Or(s.work, 2*time.Millisecond), PromoteTime: promoteTime,
		}
		for i := range membersPerService + s.spares {
			l := listen(t)
			m := chervilladder.Registered{ID: memberID(10*n + i), Service: c.Service, Address: chervilladder.Address(l.Addr().String()), DataCentre: "a", Slots: 3}
			listeners[m.ID] = l
			c.Members = append(c.Members, m)
			w.memberProxies[m.ID] = startProxy(t, string(m.Address))
			announced[m.ID] = chervilladder.Address(w.memberProxies[m.ID].address())
		}
		services = append(services, c)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	w.env, err = environment.New(environment.Config{Services: services, AnnouncedAddresses: announced, Listeners: listeners, Routes: routes(len(services)), Accounts: accounts(s), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range services {
		k := w.env.Clusters[c.Service]
		w.clusters = append(w.clusters, k)
		for _, spare := range c.Members[membersPerService:] {
			k.Remove(spare.ID)
		}
	}
	w.cluster = w.clusters[0]
	l := listen(t)
	w.storeProxy, w.cloudProxy = startProxy(t, l.Addr().String()), startProxy(t, l.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	w.cancelStandins = stop
	go func() { w.standinsEnded <- w.env.Serve(ctx, l) }()
	// The VMs' loopback addresses depend on the seed and the process id, so that
	// concurrent runs rarely share them.
	prefix := fmt.Sprintf("127.%d.%d", 10+w.rng.IntN(200), 1+os.Getpid()%250)
	for i := range s.vms {
		w.vms = append(w.vms, w.newVM(i, fmt.Sprintf("%s.%d", prefix, i+1)))
	}
	t.Cleanup(w.close)
	for _, v := range w.vms {
		v.start(nil)
	}
	for _, v := range w.vms {
		w.awaitReady(v)
	}
	return w
}

func routes(services int) []environment.Route {
	var list []environment.Route
	for n := range services {
		for i, k := range databases {
			list = append(list, environment.Route{
				Host: host(k, n), Type: k, Service: string(serviceID(n)), TimeoutMS: 1500, TargetMS: 400, Priority: i, MaxAttempts: 2,
				MaxStaleness: int(maxAge.Milliseconds()),
			})
		}
	}
	return list
}

// host returns the name of a database of a service; callers of the first one use those
// of databases.
func host(database string, n int) string {
	if n == 0 {
		return database
	}
	return fmt.Sprintf("%s%d", database, n)
}

const settings = `node_name = %q
ip = %q
zone = "a"
port_range = [7010, 7015]
[listen]
front = "%s:7001"
ready = "%s:7002"
[limits]
memory_mb = 256
[bounds]
grace_s = 3
drain_ms = 7000
[platform]
address = %q
[cloud]
address = %q
`

func (w *world) newVM(i int, ip string) *vm {
	v := &vm{w: w, name: fmt.Sprintf("vm-%d", i), ip: ip, storeProxy: startProxy(w.t, w.storeProxy.address())}
	dir := w.t.TempDir()
	v.settings = filepath.Join(dir, "boot.toml")
	text := fmt.Sprintf(settings, v.name, ip, ip, ip, v.storeProxy.address(), w.cloudProxy.address())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		w.t.Fatal(err)
	}
	v.log = log
	return v
}

// start starts the daemon in place of the process that has exited. It returns false
// if that process was already replaced or the daemon can't be started. At the first
// start, exited is nil.
func (v *vm) start(exited <-chan struct{}) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.exited != exited {
		return false
	}
	cmd := exec.Command(daemon, "platform", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		v.w.t.Error(err)
		return false
	}
	ended := make(chan struct{})
	v.process, v.exited = cmd, ended
	go func() {
		_ = cmd.Wait() // killed or terminated
		close(ended)
	}()
	return true
}

// signal sends a signal to the daemon if it runs, and returns a channel that is
// closed once that process has exited.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have exited
	}
	return v.exited
}

// await waits for a process to exit and reports whether it did within the limit.
func await(exited <-chan struct{}, limit time.Duration) bool {
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (w *world) awaitReady(v *vm) {
	w.t.Helper()
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		resp, err := client.Get("http://" + v.ip + ":7002/chervilladder/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("%s does not become ready; its log is %s", v.name, v.log.Name())
}

func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		if !await(v.signal(syscall.SIGKILL), 5*time.Second) {
			w.t.Errorf("%s does not exit", v.name)
		}
		if w.t.Failed() {
			if text, err := os.ReadFile(v.log.Name()); err == nil {
				w.save(v.name+".log", text)
			}
		}
		v.log.Close()
	}
	w.cancelStandins()
	select {
	case err := <-w.standinsEnded:
		if err != nil {
			w.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		w.t.Error("the stand-ins do not stop within ten seconds")
	}
}

// save writes a file of a failed run to the directory for temporary files.
func (w *world) save(name string, text []byte) {
	dir := filepath.Join(os.TempDir(), "chervilladder-soak", filepath.Base(w.t.Name()))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Error(err)
		return
	}
	if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
		w.t.Error(err)
		return
	}
	w.t.Logf("saved %s", filepath.Join(dir, name))
}

// record records an instantaneous event.
func (w *world) record(format string, args ...any) { w.recordFault(0, format, args...) }

// recordFault records a fault and how long it lasts.
func (w *world) recordFault(d time.Duration, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Now(), duration: d, text: fmt.Sprintf(format, args...)})
}
