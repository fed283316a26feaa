// Package crowd_test runs the shipped daemon as processes in front of stand-ins, lets
// crowds of callers that exceed the limits of the protocol loose on them, and checks
// that the processes live within the memory and descriptors of their settings and still
// answer. It checks nothing that depends on the speed of the computer.
package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/standin/cluster"
	"github.com/chervilladder/chervilladder/internal/standin/environment"
)

// The limits in the settings of each VM, which are the bounds of the tests. They are low,
// so that a small crowd exceeds them.
const (
	memoryMB       = 96
	maxDescriptors = 500
)

// The platform sets descriptors aside for files; the rest is for sockets.
const fileDescriptors = 200

const (
	service  = chervilladder.ServiceID("agenda")
	database = "primary"
	members  = 2
	// maxMessageBytes is the longest message that the protocol allows, without its end.
	maxMessageBytes = 1 << 20
)

// daemon is the path of the built daemon.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemon = filepath.Join(dir, "chervilladder")
	build := exec.Command("go", "build", "-o", daemon, "github.com/chervilladder/chervilladder/cmd/chervilladder")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// world is a service and the VMs before it.
type world struct {
	t   *testing.T
	vms []*vm
}

// vm is the process of one VM.
type vm struct {
	t       *testing.T
	ip      string
	log     string
	process *exec.Cmd
	exited  chan struct{}
	// peakDescriptors is the most that were seen open.
	peakDescriptors int
	sampling        chan struct{}
	sampled         chan struct{}
}

// startWorld starts VMs before a service whose members accept a number of connections,
// and waits until the VMs serve.
func startWorld(t *testing.T, vms, connections int) *world {
	t.Helper()
	c := cluster.Config{
		Service: service, Confirmations: 1, Connections: connections, Queue: 24,
		ConnectTime: time.Millisecond, WorkTime: time.Millisecond, PromoteTime: 100 * time.Millisecond,
	}
	listeners := make(map[chervilladder.UpstreamID]net.Listener)
	for i := range members {
		l := listen(t)
		id := chervilladder.UpstreamID(fmt.Sprintf("m%d", i))
		listeners[id] = l
		c.Members = append(c.Members, chervilladder.Registered{
			ID: id, Service: service, Address: chervilladder.Address(l.Addr().String()), DataCentre: "a", Slots: 3,
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	env, err := environment.New(environment.Config{
		Services: []cluster.Config{c}, Listeners: listeners, Log: log,
		Routes: []environment.Route{{Host: database, Type: "primary", Service: string(service), TimeoutMS: 1500, TargetMS: 400, MaxAttempts: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	store := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- env.Serve(ctx, store) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	w := &world{t: t}
	for i := range vms {
		w.vms = append(w.vms, startVM(t, i, store.Addr().String()))
	}
	for _, v := range w.vms {
		v.awaitReady()
		v.awaitServed()
	}
	return w
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

const settings = `node_name = "vm-%d"
ip = %[2]q
zone = "a"
port_range = [7010, 7015]
[listen]
front = "%[2]s:7001"
ready = "%[2]s:7002"
[limits]
memory_mb = %[3]d
max_fds = %[4]d
[bounds]
grace_s = 3
drain_ms = 7000
[platform]
address = %[5]q
[cloud]
address = %[5]q
`

func startVM(t *testing.T, number int, store string) *vm {
	t.Helper()
	v := &vm{
		t: t, ip: fmt.Sprintf("127.%d.%d.%d", 210+os.Getpid()%40, 1+os.Getpid()/40%250, number+1),
		exited: make(chan struct{}), sampling: make(chan struct{}), sampled: make(chan struct{}),
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "boot.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, number, v.ip, memoryMB, maxDescriptors, store), 0o600); err != nil {
		t.Fatal(err)
	}
	v.log = filepath.Join(dir, "log")
	log, err := os.Create(v.log)
	if err != nil {
		t.Fatal(err)
	}
	v.process = exec.Command(daemon, "platform", "--settings", path)
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = v.process.Wait() // killed at the end of the test
		log.Close()
		close(v.exited)
	}()
	go v.sample()
	t.Cleanup(func() {
		_ = v.process.Process.Kill() // it may have exited
		<-v.exited
	})
	return v
}

// sampleEvery is the time between two counts of a VM's descriptors.
const sampleEvery = 20 * time.Millisecond

// sample records the peak of the open descriptors until the check.
func (v *vm) sample() {
	defer close(v.sampled)
	for {
		v.peakDescriptors = max(v.peakDescriptors, v.descriptors())
		select {
		case <-time.After(sampleEvery):
		case <-v.sampling:
			return
		}
	}
}

// descriptors returns how many descriptors the VM has open; none once it has exited.
func (v *vm) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// peakMemory returns the most memory that was resident, in MB.
func (v *vm) peakMemory() int {
	v.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		v.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kB, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		v.t.Fatal(err)
	}
	return kB >> 10
}

func (v *vm) awaitReady() {
	v.t.Helper()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	v.await("the VM is ready", func() bool {
		resp, err := client.Get("http://" + v.ip + ":7002/chervilladder/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// awaitServed waits until an ordinary caller's write is answered with success.
func (v *vm) awaitServed() {
	v.t.Helper()
	v.await("an ordinary request is served", func() bool {
		conn, err := net.DialTimeout("tcp", v.ip+":7001", time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := fmt.Fprintf(conn, "CONNECT %s ordinary\r\nQUERY o1 WRITE 1a4 x\r\n", database); err != nil {
			return false
		}
		in := bufio.NewReader(conn)
		ready, err1 := in.ReadString('\n')
		complete, err2 := in.ReadString('\n')
		return err1 == nil && err2 == nil && strings.HasPrefix(ready, "READY") && strings.HasPrefix(complete, "COMPLETE")
	})
}

// awaitLimit bounds the wait for a state that must come about; it is far longer than any
// time-out of the daemon.
const awaitLimit = 90 * time.Second

// await waits until a condition holds.
func (v *vm) await(what string, holds func() bool) {
	v.t.Helper()
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-v.exited:
			v.fatalf("%s: the process has ended", what)
		default:
		}
		if holds() {
			return
		}
	}
	v.fatalf("%s: not seen", what)
}

func (v *vm) fatalf(format string, args ...any) {
	v.t.Helper()
	text, _ := os.ReadFile(v.log)
	v.t.Fatalf(format+"\n%s", append(args, text[max(0, len(text)-4000):])...)
}

// check checks that every VM lives, has kept within its memory and descriptors, and
// serves an ordinary request.
func (w *world) check() {
	w.t.Helper()
	for i, v := range w.vms {
		v.awaitServed()
		close(v.sampling)
		<-v.sampled
		memory := v.peakMemory()
		w.t.Logf("VM %d: at most %d MB resident of %d, %d descriptors of %d", i, memory, memoryMB, v.peakDescriptors, maxDescriptors)
		if memory > memoryMB {
			w.t.Errorf("VM %d: %d MB were resident, its machine has %d", i, memory, memoryMB)
		}
		if v.peakDescriptors > maxDescriptors-fileDescriptors {
			w.t.Errorf("VM %d: %d descriptors were open, it may have %d", i, v.peakDescriptors, maxDescriptors-fileDescriptors)
		}
	}
}
