package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/lineserver"
)

// The bounds of the settings, as those of a small deployment.
const (
	Stability   = 4 * time.Second
	Drain       = 7 * time.Second
	Grace       = 6 * time.Second
	ConfigApply = 3 * time.Second
	Outer       = 12 * time.Second
)

// The ports of each VM, which has a loopback address of its own.
const (
	frontPort   = 8784
	readyPort   = 8785
	metricsPort = 9464
	firstPort   = 7440
	lastPort    = 7455
)

// heartbeat is how often a backend writes its entry; the entry is removed after
// missedHeartbeats without one.
const (
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
)

// startTimeout bounds the wait for a VM to become ready, or for a promotion.
const startTimeout = 15 * time.Second

// Config configures a World.
type Config struct {
	Record *Record
	// VMs is how many VMs run.
	VMs int
	// Services are the services; Spares is how many members more than three each has,
	// which are not up at the start.
	Services []string
	Spares   int
	// Groups are the ids of the members of further services, which may come back under
	// another id.
	Groups map[string][]string
	// BeatGap is the time between the first and the last member's heartbeats.
	BeatGap time.Duration
	// Contracts are further parts of the rules that are in force.
	Contracts []string
}

// World is the system and its surroundings.
type World struct {
	Record   *Record
	Store    *Store
	Services map[string]*Service
	Groups   map[string]*Group
	VMs      []*VM

	c      Config
	dir    string
	ctx    context.Context
	cancel context.CancelFunc
	server net.Listener

	mu     sync.Mutex
	orders []Order
	spec   any
}

// Order is a promotion that the platform was asked for.
type Order struct {
	Service, ID, Holder string
	Epoch               uint64
}

// Service is a replicated service.
type Service struct {
	Name    string
	Cluster *cluster.Cluster
	members []chervilladder.Registered

	// born is when each member started, in Unix milliseconds.
	born map[chervilladder.UpstreamID]int64

	mu       sync.Mutex
	draining map[chervilladder.UpstreamID]bool
}

// Run runs a case and returns its exit code. It ends all processes that the case started.
func Run(c Config, play func(*World) bool) (code int) {
	w := &World{Record: c.Record, Store: NewStore(c.Record), Services: make(map[string]*Service), Groups: make(map[string]*Group), c: c}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	defer w.close()
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case *NotRunError:
			c.Record.Notef("%v", failure)
			code = NotRun
		default:
			panic(failure)
		}
	}()
	w.start()
	if play(w) {
		return Held
	}
	return Broken
}

func (w *World) start() {
	var err error
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		Abort("%v", err)
	}
	if w.server, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		Abort("%v", err)
	}
	mux := http.NewServeMux()
	mux.Handle(names["objects"], w.Store)
	mux.HandleFunc(names["promotion"], w.servePromotion)
	go func() { _ = (&http.Server{Handler: mux}).Serve(w.server) }() // it ends with the listener
	for _, name := range w.c.Services {
		w.startService(name)
	}
	for name, ids := range w.c.Groups {
		w.Groups[name] = newGroup(w, name, ids, w.c.BeatGap)
	}
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range w.c.VMs {
		w.VMs = append(w.VMs, w.newVM(i, fmt.Sprintf("%s.%d", prefix, 1+i)))
	}
}

// startService starts the members of a service, the first of them as its primary.
func (w *World) startService(name string) {
	const members = 3
	c := cluster.Config{
		Service: chervilladder.ServiceID(name), Confirmations: 1, Connections: 22, Queue: 24, Lag: 60 * time.Millisecond,
		ConnectTime: 12 * time.Millisecond, WorkTime: 8 * time.Millisecond, PromoteTime: time.Second,
		EntryTerms: true, StepsDownAfter: time.Second,
	}
	s := &Service{Name: name, born: make(map[chervilladder.UpstreamID]int64), draining: make(map[chervilladder.UpstreamID]bool)}
	var listeners []net.Listener
	for i := range members + w.c.Spares {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			Abort("%v", err)
		}
		listeners = append(listeners, l)
		s.members = append(s.members, chervilladder.Registered{
			ID: chervilladder.UpstreamID(fmt.Sprintf("i-%s-%d", name, i)), Service: c.Service,
			Address: chervilladder.Address(l.Addr().String()), DataCentre: "zone-a", Slots: 3,
		})
	}
	c.Members = s.members
	k, err := cluster.New(c)
	if err != nil {
		Abort("%v", err)
	}
	s.Cluster = k
	for _, m := range s.members[members:] {
		k.Remove(m.ID)
	}
	w.Services[name] = s
	for _, m := range s.members {
		s.born[m.ID] = time.Now().UnixMilli()
	}
	for i, m := range s.members {
		go func() { _ = lineserver.Serve(w.ctx, listeners[i], k, m.ID) }() // it ends with the context
		go w.beat(s, m)
	}
}

// beat writes a member's entry as long as the member is up.
func (w *World) beat(s *Service, m chervilladder.Registered) {
	missed := missedHeartbeats
	for seq := 1; w.ctx.Err() == nil; seq++ {
		if s.Cluster.Down(m.ID) {
			missed++
			if missed == missedHeartbeats {
				w.Store.Remove("servers", string(m.ID))
			}
		} else {
			missed = 0
			w.writeEntry(s, m, seq, s.born[m.ID])
		}
		time.Sleep(heartbeat)
	}
}

func (w *World) writeEntry(s *Service, m chervilladder.Registered, seq int, born int64) {
	primary, _ := s.Cluster.Primary()
	entry := map[string]any{
		"service": s.Name, "address": m.Address, "zone": m.DataCentre, "version": "v1", "slots": m.Slots, "state": "ready",
		names["cold"]: 0, names["role"]: "replica", "seq_no": seq, "born": born,
	}
	if primary == m.ID {
		entry[names["role"]] = "primary"
	}
	s.mu.Lock()
	if s.draining[m.ID] {
		entry["state"] = "draining"
	}
	s.mu.Unlock()
	w.Store.Put("servers", string(m.ID), entry)
}

// Join starts a member of a service that was not up at the start, and waits until it has
// registered and follows the primary.
func (w *World) Join(service string, i int) {
	s := w.Services[service]
	s.Cluster.Add(s.members[i])
	w.Record.Notef("backend %s starts", s.members[i].ID)
	time.Sleep(3 * heartbeat)
}

// DrainPrimary has the primary of a service report that it leaves, and waits until a
// promotion has taken effect. The old primary leaves once its drain is over.
func (w *World) DrainPrimary(service string) {
	s := w.Services[service]
	leaving, term := s.Cluster.Primary()
	s.mu.Lock()
	s.draining[leaving] = true
	s.mu.Unlock()
	for _, m := range s.members {
		if m.ID == leaving {
			w.writeEntry(s, m, 0, s.born[m.ID]) // a change is reported at once
		}
	}
	w.Record.Notef("backend %s, primary of term %d, reports that it is draining", leaving, term)
	if !w.Await(startTimeout, func() bool { _, t := s.Cluster.Primary(); return t > term }) {
		Abort("no other primary of %s came", service)
	}
	primary, term := s.Cluster.Primary()
	w.Record.Notef("backend %s leads term %d", primary, term)
	time.AfterFunc(Drain, func() {
		s.Cluster.Remove(leaving)
		w.Record.Notef("backend %s has left", leaving)
	})
}

// Await polls a condition and reports whether it came true in time.
func (w *World) Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// servePromotion carries out a promotion. As fences are not checked, any epoch is taken.
func (w *World) servePromotion(rw http.ResponseWriter, r *http.Request) {
	var o Order
	var body struct{ Service, ID string }
	epoch, err := strconv.ParseUint(r.Header.Get(names["fence"]), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	o = Order{Service: body.Service, ID: body.ID, Holder: r.Header.Get(names["holder"]), Epoch: epoch}
	w.mu.Lock()
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.Record.Notef("platform: POST /promotion of %s in %s by holder %s with epoch number %d", o.ID, o.Service, o.Holder, o.Epoch)
	if !w.promote(o) {
		rw.WriteHeader(http.StatusConflict)
	}
}

// promote carries out an order, and reports whether the backend runs.
func (w *World) promote(o Order) bool {
	if g, ok := w.Groups[o.Service]; ok {
		return g.promote(o.ID)
	}
	s, ok := w.Services[o.Service]
	return ok && s.Cluster.Promote(chervilladder.VMID(o.Holder), chervilladder.Epoch(o.Epoch), chervilladder.UpstreamID(o.ID)) == nil
}

// Orders returns the promotions that the platform was asked for, in order.
func (w *World) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Order(nil), w.orders...)
}

// Configure writes a version of the operator's config, and returns once the store has
// acknowledged it.
func (w *World) Configure(c Configuration) {
	spec := c.spec()
	revision, ok := w.Store.Put("config", "main", spec)
	if !ok {
		Abort("the operator's config was not acknowledged")
	}
	w.spec = spec
	w.Record.Notef("operator: version %v of the config is acknowledged at revision %d", c.Version, revision)
}

// ConfigureAgain writes the operator's last config again, as it does after a drill.
func (w *World) ConfigureAgain() {
	revision, ok := w.Store.Put("config", "main", w.spec)
	if !ok {
		Abort("the operator's config was not acknowledged")
	}
	w.Record.Notef("operator: the last config is written again; its revision is %d", revision)
}

func (w *World) close() {
	for _, v := range w.VMs {
		v.Kill()
		v.Store.Close()
	}
	w.cancel()
	if w.server != nil {
		w.server.Close()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir) // a folder that stays does no harm
	}
}

// VM is one VM. It keeps its address when its process is started again.
type VM struct {
	Name, IP string
	// Store is the VM's way to the store.
	Store *Proxy

	w        *World
	settings string
	process  *exec.Cmd
	ended    chan struct{}
}

func (w *World) newVM(i int, ip string) *VM {
	for _, port := range []int{frontPort, readyPort, metricsPort, firstPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			Abort("%v", err)
		}
		l.Close()
	}
	contracts, err := json.Marshal(append([]string{"base", "drain", "config", "cost", "recover", "sql", "platform"}, w.c.Contracts...))
	if err != nil {
		Abort("%v", err)
	}
	v := &VM{w: w, Name: fmt.Sprintf("front-zone-a-%d", i+1), IP: ip}
	v.settings = filepath.Join(w.dir, v.Name+".toml")
	address := w.server.Addr().String()
	v.Store = NewProxy(address)
	store := v.Store.Address()
	text := fmt.Sprintf(settings, v.Name, ip, firstPort, lastPort, contracts, ip, frontPort, ip, readyPort, store, address)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		Abort("%v", err)
	}
	return v
}

// StartVMs starts all VMs and waits until they are ready.
func (w *World) StartVMs() {
	for _, v := range w.VMs {
		v.Start()
	}
	for _, v := range w.VMs {
		v.AwaitReady()
	}
}

// logs returns the folder for the logs of the VMs: that of the case, or the one that
// REVIEW_LOGS names.
func (w *World) logs() string {
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		return dir
	}
	return w.dir
}

// Start starts the VM's process with the command of the deploy file.
func (v *VM) Start() {
	log, err := os.OpenFile(filepath.Join(v.w.logs(), v.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		Abort("%v", err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	cmd := exec.Command("target/chervilladder", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILLADDER_NODE_FILE=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		Abort("%v", err)
	}
	v.process, v.ended = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait() // it was stopped or killed
		close(v.ended)
	}()
	v.w.Record.Notef("VM %s starts as process %d", v.Name, cmd.Process.Pid)
}

// Holder returns the VM that holds the duty by the store's record.
func (w *World) Holder() *VM {
	text, _ := w.Store.Get("duties", "failover")
	var record struct{ Holder string }
	if json.Unmarshal(text, &record) == nil {
		for _, v := range w.VMs {
			if v.Name == record.Holder {
				return v
			}
		}
	}
	Abort("no VM holds the duty")
	return nil
}

// AwaitReady waits until the VM says that it is ready.
func (v *VM) AwaitReady() {
	client := &http.Client{Timeout: time.Second}
	ready := v.w.Await(startTimeout, func() bool {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", v.IP, readyPort, names["ready"]))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if !ready {
		Abort("%s does not become ready", v.Name)
	}
	v.w.Record.Notef("VM %s is ready", v.Name)
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s syscall.Signal) {
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have ended
	}
}

// Terminate sends SIGTERM.
func (v *VM) Terminate() {
	v.Signal(syscall.SIGTERM)
	v.w.Record.Notef("VM %s gets SIGTERM", v.Name)
}

// Restart waits until a VM that got SIGTERM has ended, and starts it again.
func (v *VM) Restart() {
	select {
	case <-v.ended:
	case <-time.After(Grace):
		Abort("%s does not end within its grace", v.Name)
	}
	v.Start()
}

// Stop sends SIGTERM and waits until the process has ended.
func (v *VM) Stop() {
	v.Terminate()
	select {
	case <-v.ended:
	case <-time.After(Grace):
		Abort("%s does not end within its grace", v.Name)
	}
	v.w.Record.Notef("VM %s has ended", v.Name)
}

// Kill ends the process, if it runs, and waits for its end.
func (v *VM) Kill() {
	if v.process == nil {
		return
	}
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
	<-v.ended
}
