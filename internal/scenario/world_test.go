package scenario_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// waitTimeout bounds every wait of a scenario. It is no limit of the product:
// scenarios check what happens, not how fast.
const waitTimeout = 60 * time.Second

// process is a running program of a world.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// world is the system under test as processes: a platform, one database group and some
// VMs.
type world struct {
	dir               string
	bin               string
	platform          string
	upstreamAddresses []string
	vms               []string
	callerAddresses   map[string]string
	operatorAddresses map[string]string
	controlAddresses  map[string]string
	args              map[string][]string

	mu        sync.Mutex
	processes map[string]*process
}

// database is the one database of a world.
const database = "ledger"

type worldConfig struct {
	vms           int
	upstreams     int
	slots         int
	lag           string
	statementTime string
	service       string
}

func newWorld(dir, bin string, c worldConfig) (*world, error) {
	w := &world{
		dir: dir, bin: bin,
		callerAddresses: map[string]string{}, operatorAddresses: map[string]string{}, controlAddresses: map[string]string{},
		args: map[string][]string{}, processes: map[string]*process{},
	}
	steps := []func(worldConfig) error{w.startPlatform, w.startUpstreams, w.publish, w.startVMs}
	for _, step := range steps {
		if err := step(c); err != nil {
			w.stop()
			return nil, err
		}
	}
	return w, nil
}

// The ports of a world's processes. They are below the kernel's ephemeral ports, since
// an outgoing connection could take an ephemeral port between the check and the listen,
// or while the process that uses it is down.
const (
	firstPort = 10000
	ports     = 20000
)

// nextPort is the next port to check. It starts at a multiple of the process id, so that
// test processes with consecutive ids start far apart.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 211) }

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range ports {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		if free(a) {
			list = append(list, a)
		}
		if len(list) == n {
			return list, nil
		}
	}
	return nil, errors.New("no port is free")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer u.Close()
	return true
}

func (w *world) startPlatform(worldConfig) error {
	a, err := freeAddresses(1)
	if err != nil {
		return err
	}
	w.platform = a[0]
	w.controlAddresses["platform"] = a[0]
	w.args["platform"] = []string{"standin", "platform", "--listen", a[0]}
	if err := w.start("platform"); err != nil {
		return err
	}
	return w.awaitHTTP("http://" + a[0] + "/control/status")
}

func (w *world) startUpstreams(c worldConfig) error {
	a, err := freeAddresses(3 * c.upstreams)
	if err != nil {
		return err
	}
	var group []string
	for i := range c.upstreams {
		group = append(group, fmt.Sprintf("u%d=%s", i+1, a[3*i+1]))
	}
	for i := range c.upstreams {
		name := fmt.Sprintf("u%d", i+1)
		w.upstreamAddresses = append(w.upstreamAddresses, a[3*i])
		w.controlAddresses[name] = a[3*i+2]
		w.args[name] = []string{
			"standin", "upstream", "--name", name, "--primary", "u1",
			"--group", strings.Join(group, ","), "--listen", a[3*i], "--control", a[3*i+2],
			"--slots", fmt.Sprint(c.slots), "--lag", c.lag, "--statement-time", c.statementTime,
		}
		if err := w.start(name); err != nil {
			return err
		}
	}
	for i := range c.upstreams {
		if err := w.awaitHTTP("http://" + a[3*i+2] + "/status"); err != nil {
			return err
		}
	}
	return nil
}

// publish writes the addresses into the service file and publishes it.
func (w *world) publish(c worldConfig) error {
	text := c.service
	for i, a := range w.upstreamAddresses {
		text = strings.ReplaceAll(text, fmt.Sprintf("ADDRESS-%d", i+1), a)
	}
	dir := filepath.Join(w.dir, "services")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "ledger.json"), []byte(text), 0o644); err != nil {
		return err
	}
	out, err := exec.Command(filepath.Join(w.bin, "chervilladderctl"), "publish", "--platform", w.platform, "--operator", "scenario", dir).CombinedOutput()
	if err != nil {
		return fmt.Errorf("publish: %w: %s", err, out)
	}
	return nil
}

func (w *world) startVMs(c worldConfig) error {
	a, err := freeAddresses(3 * c.vms)
	if err != nil {
		return err
	}
	for i := range c.vms {
		name := fmt.Sprintf("vm-%d", i+1)
		w.vms = append(w.vms, name)
		w.callerAddresses[name], w.operatorAddresses[name] = a[3*i], a[3*i+2]
		body := fmt.Sprintf(`{"data-centre":"dc-1","peer":%q}`, a[3*i+1])
		if err := w.call(http.MethodPut, "http://"+w.platform+"/control/vms/"+name, body); err != nil {
			return err
		}
		settings, err := json.Marshal(map[string]string{
			"vm": name, "data-centre": "dc-1", "callers": a[3*i], "peers": a[3*i+1], "operators": a[3*i+2],
			"platform": w.platform, "log-level": "info",
		})
		if err != nil {
			return err
		}
		file := filepath.Join(w.dir, name+".json")
		if err := os.WriteFile(file, settings, 0o644); err != nil {
			return err
		}
		w.args[name] = []string{"chervilladder", "--settings", file}
		if err := w.start(name); err != nil {
			return err
		}
	}
	return nil
}

// start starts a process of the world, or restarts it after it has exited.
func (w *world) start(name string) error {
	args := w.args[name]
	cmd := exec.Command(filepath.Join(w.bin, args[0]), args[1:]...)
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		log.Close()
		close(p.done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return nil
}

// signal sends a signal to a process and waits for its exit after SIGKILL and
// SIGTERM.
func (w *world) signal(name string, s syscall.Signal) error {
	w.mu.Lock()
	p, ok := w.processes[name]
	w.mu.Unlock()
	if !ok {
		return fmt.Errorf("no process %q", name)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	if s != syscall.SIGKILL && s != syscall.SIGTERM {
		return nil
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s does not exit", name)
	}
}

func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (w *world) call(method, url, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	if answer.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s: %s", method, url, answer.Status, text)
	}
	return nil
}

func (w *world) awaitHTTP(url string) error {
	until := time.Now().Add(waitTimeout)
	for time.Now().Before(until) {
		if w.call(http.MethodGet, url, "") == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("nothing answers at %s", url)
}

// logs returns the output of all processes, for a failed scenario.
func (w *world) logs() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, f := range files {
		text, _ := os.ReadFile(f)
		fmt.Fprintf(&b, "== %s\n%s", filepath.Base(f), text)
	}
	return b.String()
}
