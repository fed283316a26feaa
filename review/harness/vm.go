package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// settings are those of a machine of the site salas-valle.
const settings = `node_name = %[1]q
role = "chervilladder"
machine_class = "front"
serves = ["front"]
ip = %[2]q
zone = "a"
region = "r"
port_range = [7440, 7455]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
a = "r"
[listen]
front = "%[2]s:7001"
ready = "%[2]s:7002"
[limits]
cpu_share = 0.608
cores = 1
memory_mb = 414
max_fds = 6300
link_mbps = 1500.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
revert_slack_ms = 250
outer_ms = 12000
recovery_s = 12
fencing_required = false
thaw_ms = 300
[platform]
address = %[3]q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
[cloud]
address = %[3]q
duties = ["failover"]
duty_per_s = 50.0
`

func (w *World) newVM(name, ip, platformAddress string) (*VM, error) {
	v := &VM{Name: name, IP: ip, w: w, settings: filepath.Join(w.dir, name+".toml")}
	text := fmt.Sprintf(settings, name, ip, platformAddress)
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// Start starts the process as the deploy file does.
func (v *VM) Start() error {
	log, err := os.OpenFile(filepath.Join(v.w.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a copy
	cmd := exec.Command("target/chervilladder", "platform")
	cmd.Path = filepath.Join(v.w.root, "target", "chervilladder")
	cmd.Dir = v.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILLADDER_NODE_FILE=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.w.Recordf("process %s is started", v.Name)
	return nil
}

// Terminate asks the process to stop.
func (v *VM) Terminate() {
	_ = v.process.Process.Signal(syscall.SIGTERM) // it may have ended
	v.w.Recordf("%s gets SIGTERM", v.Name)
}

// Kill ends the process at once.
func (v *VM) Kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Signal(syscall.SIGKILL) // it may have ended
	<-v.exited
	v.process = nil
}
