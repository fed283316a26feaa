// Package soak_test runs the shipped daemon as separate processes before
// stand-ins, does harm to them from outside, and checks the promises by what
// callers and upstreams see.
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
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/prepared"
)

// The service that the soak's VMs serve.
const service = chervilladder.ServiceID("agenda")

// kinds are the databases by the kind of their reads.
var kinds = []string{"primary", "bounded", "read_your_writes"}

// maxAge is what reads of the last two kinds accept.
const maxAge = 1500 * time.Millisecond

// world is one run.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	shape   shape
	cluster *cluster.Cluster
	prep    *prepared.World
	store   *proxy
	members map[chervilladder.UpstreamID]*proxy
	vms     []*vm
	stop    context.CancelFunc
	ended   chan error

	// pending are the harms that are still to be taken back.
	pending sync.WaitGroup

	mu     sync.Mutex
	events []event
}

// event is something that was done to the system, for how long if it lasts.
type event struct {
	at    time.Time
	lasts time.Duration
	text  string
}

func (e event) String() string {
	if e.lasts == 0 {
		return e.at.Format("15:04:05.000 ") + e.text
	}
	return e.at.Format("15:04:05.000 ") + e.text + " for " + e.lasts.String()
}

// vm is one daemon process. Its address is the same for each of its starts.
type vm struct {
	w        *world
	name     string
	ip       string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  <-chan struct{}
}

func memberID(i int) chervilladder.UpstreamID {
	return chervilladder.UpstreamID(fmt.Sprintf("m%d", i))
}

// listen returns a listener. Its port stays taken: other runs look for ports too.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start starts the stand-ins and the VMs, and waits until all are ready.
func start(t *testing.T, seed uint64, s shape) *world {
	t.Helper()
	w := &world{t: t, shape: s, rng: rand.New(rand.NewPCG(seed, 1)), members: make(map[chervilladder.UpstreamID]*proxy), ended: make(chan error, 1)}
	c := cluster.Config{
		Service: service, Confirmations: 1, Connections: s.connections, Queue: 24, Lag: 40 * time.Millisecond,
		ConnectTime: 2 * time.Millisecond, WorkTime: cmp.Or(s.work, 2*time.Millisecond), PromoteTime: 400 * time.Millisecond,
	}
	announce := make(map[chervilladder.UpstreamID]chervilladder.Address)
	listeners := make(map[chervilladder.UpstreamID]net.Listener)
	for i := range 3 {
		l := listen(t)
		m := chervilladder.Registered{ID: memberID(i), Service: service, Address: chervilladder.Address(l.Addr().String()), DataCentre: "a", Slots: 3}
		listeners[m.ID] = l
		c.Members = append(c.Members, m)
		w.members[m.ID] = startProxy(t, string(m.Address))
		announce[m.ID] = chervilladder.Address(w.members[m.ID].address())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	w.prep, err = prepared.New(prepared.Config{Services: []cluster.Config{c}, Announce: announce, Listeners: listeners, Routes: routes(), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	w.cluster = w.prep.Clusters[service]
	l := listen(t)
	w.store = startProxy(t, l.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.ended <- w.prep.Serve(ctx, l) }()
	// Each run has loopback addresses of its own for its VMs.
	net16 := fmt.Sprintf("127.%d.%d", 10+w.rng.IntN(200), 1+os.Getpid()%250)
	for i := range s.vms {
		w.vms = append(w.vms, w.newVM(i, fmt.Sprintf("%s.%d", net16, i+1), l.Addr().String()))
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

func routes() []prepared.Route {
	var list []prepared.Route
	for i, k := range kinds {
		list = append(list, prepared.Route{
			Host: k, Type: k, Service: string(service), TimeoutMS: 1500, TargetMS: 400, Priority: i, MaxAttempts: 2,
			MaxStaleness: int(maxAge.Milliseconds()),
		})
	}
	return list
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

func (w *world) newVM(i int, ip, promotions string) *vm {
	v := &vm{w: w, name: fmt.Sprintf("vm-%d", i), ip: ip}
	dir := w.t.TempDir()
	v.settings = filepath.Join(dir, "boot.toml")
	text := fmt.Sprintf(settings, v.name, ip, ip, ip, w.store.address(), promotions)
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

// start starts the daemon in place of the process that has exited, and reports
// whether it did: another one may run already.
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
		_ = cmd.Wait() // killed or told to end
		close(ended)
	}()
	return true
}

// signal sends a signal to the daemon if it runs, and returns what is closed
// once that process is gone.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have ended
	}
	return v.exited
}

// await waits for a process's end.
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
			w.t.Errorf("%s does not end", v.name)
		}
		if w.t.Failed() {
			if text, err := os.ReadFile(v.log.Name()); err == nil {
				w.keep(v.name+".log", text)
			}
		}
		v.log.Close()
	}
	w.stop()
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		w.t.Error("the stand-ins do not end within ten seconds")
	}
}

// keep keeps a file of a run that failed.
func (w *world) keep(name string, text []byte) {
	dir := filepath.Join(os.TempDir(), "chervilladder-soak", filepath.Base(w.t.Name()))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Error(err)
		return
	}
	if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
		w.t.Error(err)
		return
	}
	w.t.Logf("kept %s", filepath.Join(dir, name))
}

// note records what was done to the system.
func (w *world) note(format string, args ...any) { w.harmed(0, format, args...) }

// harmed records what is done to the system for a time.
func (w *world) harmed(d time.Duration, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Now(), lasts: d, text: fmt.Sprintf(format, args...)})
}
