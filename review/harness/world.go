// Package harness runs the project's own program as separate processes before
// stand-ins on loopback addresses, for the cases of the review. The stand-ins are
// those of the project: the store and promotions, and one replicated service.
package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/lineserver"
	"github.com/chervilladder/chervilladder/internal/standin/platform"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Service is the one replicated service.
const Service = chervilladder.ServiceID("agenda")

// The service's figures are those of the site salas-valle.
const (
	memberCount   = 3
	slots         = 3
	queue         = 24
	connections   = 22
	connectTime   = 12 * time.Millisecond
	workTime      = 8 * time.Millisecond
	replicaLag    = 60 * time.Millisecond
	promoteTime   = time.Second
	syncReplicas  = 1
	heartbeat     = 1200 * time.Millisecond
	missedBeats   = 3
	startDeadline = 20 * time.Second
)

// World is the system of one case.
type World struct {
	Cluster *cluster.Cluster
	VMs     []*VM
	// Trouble is false if the disruption is to be left out.
	Trouble bool

	serve     func(ctx context.Context, l net.Listener, w *World, id chervilladder.UpstreamID)
	root, dir string
	store     *platform.Store
	record    *os.File
	began     time.Time
	stop      context.CancelFunc
	ended     sync.WaitGroup

	mu       sync.Mutex
	members  map[chervilladder.UpstreamID]*member
	recordMu sync.Mutex
}

// member is a member's registration.
type member struct {
	chervilladder.Registered
	missed int
}

// VM is one process of the product.
type VM struct {
	Name, IP string
	w        *World
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// Case describes a case.
type Case struct {
	VMs int
	// Serve serves one member; nil serves those of a cluster of the project's own
	// stand-in. The first member is the primary.
	Serve func(ctx context.Context, l net.Listener, w *World, id chervilladder.UpstreamID)
	// Run returns the case's result.
	Run func(w *World) int
}

// Main runs a case and exits with its result.
func Main(c Case) {
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", serve: c.Serve, members: make(map[chervilladder.UpstreamID]*member), began: time.Now()}
	code := NotRun
	if err := w.start(c.VMs); err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	} else {
		code = c.Run(w)
	}
	w.close()
	os.Exit(code)
}

// Recordf writes a line with the time since the start to record.txt.
func (w *World) Recordf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// MemberID returns the id of a member.
func MemberID(i int) chervilladder.UpstreamID {
	return chervilladder.UpstreamID(fmt.Sprintf("i-%d", i))
}

func (w *World) start(vms int) error {
	if len(os.Args) != 2 {
		return errors.New("usage: CASE ROOT")
	}
	var err error
	if w.root, err = filepath.Abs(os.Args[1]); err != nil {
		return err
	}
	if w.record, err = os.Create("record.txt"); err != nil {
		return err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(NotRun)
	}()
	if err := w.startService(ctx); err != nil {
		return err
	}
	address, err := w.startPlatform(ctx)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range vms {
		v, err := w.newVM(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", prefix, i+1), address)
		if err != nil {
			return err
		}
		w.VMs = append(w.VMs, v)
		if err := v.Start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *World) startService(ctx context.Context) error {
	c := cluster.Config{
		Service: Service, Confirmations: syncReplicas, Connections: connections, Queue: queue,
		Lag: replicaLag, ConnectTime: connectTime, WorkTime: workTime, PromoteTime: promoteTime,
	}
	listeners := make(map[chervilladder.UpstreamID]net.Listener)
	for i := range memberCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		r := chervilladder.Registered{
			ID: MemberID(i), Service: Service, Address: chervilladder.Address(l.Addr().String()),
			DataCentre: "a", Slots: slots, Born: time.Now(),
		}
		listeners[r.ID] = l
		c.Members = append(c.Members, r)
		w.members[r.ID] = &member{Registered: r}
	}
	var err error
	if w.Cluster, err = cluster.New(c); err != nil {
		return err
	}
	for id, l := range listeners {
		if w.serve != nil {
			w.ended.Go(func() { w.serve(ctx, l, w, id) })
			continue
		}
		w.ended.Go(func() { _ = lineserver.Serve(ctx, l, w.Cluster, id) })
	}
	return nil
}

func (w *World) startPlatform(ctx context.Context) (string, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := platform.New(platform.Config{Promoter: w, Log: log})
	if err != nil {
		return "", err
	}
	w.store = p.Store()
	if err := w.put("config", "main", []byte(config)); err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.ended.Go(func() { _ = p.Serve(ctx, l) })
	w.ended.Go(func() { w.register(ctx) })
	return l.Addr().String(), nil
}

// Promote carries out a promotion for the platform.
func (w *World) Promote(_ chervilladder.ServiceID, id chervilladder.UpstreamID, holder chervilladder.VMID, epoch chervilladder.Epoch) error {
	w.Recordf("platform: POST /promotion of %s by %s with fencing token %d", id, holder, epoch)
	return w.Cluster.Promote(holder, epoch, id)
}

func (w *World) put(kind chervilladder.ObjectKind, name chervilladder.ObjectName, spec []byte) error {
	o, _ := w.store.Get(kind, name)
	_, err := w.store.Put(kind, name, spec, o.Version)
	return err
}

// register writes the members' entries at each heartbeat, and removes those of members
// that have been down for three of them.
func (w *World) register(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		w.mu.Lock()
		for id, m := range w.members {
			w.beat(id, m)
		}
		w.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// beat writes or removes one member's entry.
func (w *World) beat(id chervilladder.UpstreamID, m *member) {
	if !w.Cluster.Down(id) {
		m.missed = 0
		w.writeEntry(id, m)
		return
	}
	if m.missed++; m.missed != missedBeats {
		return
	}
	if o, ok := w.store.Get("servers", chervilladder.ObjectName(id)); ok {
		_, _ = w.store.Delete("servers", o.Name, o.Version)
		w.Recordf("store: the entry of %s is removed", id)
	}
}

func (w *World) writeEntry(id chervilladder.UpstreamID, m *member) {
	role := "replica"
	if primary, _ := w.Cluster.Primary(); primary == id {
		role = "primary"
	}
	text := fmt.Sprintf(entry, m.Service, m.Address, m.DataCentre, m.Slots, role, time.Since(w.began).Milliseconds(), m.Born.UnixMilli())
	_ = w.put("servers", chervilladder.ObjectName(id), []byte(text))
}

// Crash stops a member. It keeps its log.
func (w *World) Crash(id chervilladder.UpstreamID) {
	w.Recordf("server %s crashes", id)
	w.Cluster.Set(id, func(f *cluster.Faults) { f.Down = true })
}

// Return starts a member again that has crashed.
func (w *World) Return(id chervilladder.UpstreamID) {
	w.Recordf("server %s is back with its log", id)
	w.Cluster.Set(id, func(f *cluster.Faults) { f.Down = false })
}

// Restart stops a member and starts it again under its id. It knows nothing of before.
func (w *World) Restart(id chervilladder.UpstreamID, downFor time.Duration) {
	w.Recordf("server %s ends", id)
	w.Cluster.Remove(id)
	time.Sleep(downFor)
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.members[id]
	m.Born = time.Now()
	w.Cluster.Add(m.Registered)
	w.writeEntry(id, m)
	w.Recordf("server %s has started again under its id and holds nothing; its entry has a new born", id)
}

// awaitReady waits until each process opens sessions.
func (w *World) awaitReady() error {
	deadline := time.Now().Add(startDeadline)
	for _, v := range w.VMs {
		for {
			c, err := Dial(v.IP, "bookings", "start")
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s opens no session: %w", v.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.Recordf("all processes open sessions")
	return nil
}

// close ends the processes and the stand-ins.
func (w *World) close() {
	for _, v := range w.VMs {
		v.Kill()
	}
	if w.stop != nil {
		w.stop()
		w.ended.Wait()
	}
	if w.record != nil {
		_ = w.record.Close()
	}
	if w.dir != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
