package harness

import (
	_ "embed" // for the texts
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// settings are those of a machine of the site salas-valle; config and entry are the
// operator's configuration and a server's entry. Their formats are the platform's.
var (
	//go:embed texts/settings.toml
	settings string
	//go:embed texts/config.json
	config string
	//go:embed texts/entry.json
	entry string
)

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
