// Package capacity_test measures the costs per unit on which the sizing in
// docs/CAPACITY.md is based, and the cost of a statement for
// docs/MEASURES-path.md. Unless a benchmark says otherwise, the other end of each
// connection runs in a process of its own, so that the CPU time and memory are
// those of the measured part alone.
package capacity_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
)

// The environment variables that make this program run as a child process of a
// benchmark.
const (
	roleVariable  = "CHERVILLADDER_CAPACITY_ROLE"
	countVariable = "CHERVILLADDER_CAPACITY_COUNT"
)

// role is what a child process runs.
type role string

const (
	roleUpstreams    role = "upstreams"
	roleCallerServer role = "callers"
	rolePeer         role = "peer"
	rolePlatform     role = "platform"
)

// childInfo is the first line that a child writes, as JSON.
type childInfo struct {
	Upstreams []chervilladder.Upstream
	Address   chervilladder.Address
}

// usage is the resource usage of a process so far.
type usage struct {
	// Processor is the CPU time. The field names are the keys of the JSON that a
	// child writes.
	Processor  time.Duration
	HeapBytes  uint64
	StackBytes uint64
	Goroutines int
	// BytesIn and BytesOut are the bytes on the connections that the process
	// accepted, Reads and Writes the calls that transferred them.
	BytesIn, BytesOut, Reads, Writes uint64
}

func TestMain(m *testing.M) {
	if r := role(os.Getenv(roleVariable)); r != "" {
		if err := serveRole(r); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func serveRole(r role) error {
	count, err := strconv.Atoi(os.Getenv(countVariable))
	if err != nil {
		return err
	}
	info, err := roles()[r](count)
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(info); err != nil {
		return err
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if err := out.Encode(measure()); err != nil {
			return err
		}
	}
	return nil
}

func roles() map[role]func(int) (childInfo, error) {
	return map[role]func(int) (childInfo, error){
		roleUpstreams:    serveUpstreams,
		roleCallerServer: runCallerServer,
		rolePeer:         servePeer,
		rolePlatform:     servePlatform,
	}
}

// measure returns the usage of this process after a garbage collection.
func measure() usage {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		Processor:  cpuTime(),
		HeapBytes:  m.HeapAlloc,
		StackBytes: m.StackInuse,
		Goroutines: runtime.NumGoroutine(),
		BytesIn:    traffic.bytesIn.Load(),
		BytesOut:   traffic.bytesOut.Load(),
		Reads:      traffic.reads.Load(),
		Writes:     traffic.writes.Load(),
	}
}

func (u usage) memory() uint64 {
	return u.HeapBytes + u.StackBytes
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// child is a process that a benchmark starts, as a rule for the other end of its
// connections.
type child struct {
	childInfo
	in  io.Writer
	out *json.Decoder
}

// startChild starts a process that serves a role until the benchmark ends.
func startChild(b *testing.B, r role, count int) *child {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+string(r), countVariable+"="+strconv.Itoa(count))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	check(b, err)
	out, err := cmd.StdoutPipe()
	check(b, err)
	check(b, cmd.Start())
	b.Cleanup(func() {
		in.Close()
		_ = cmd.Wait()
	})
	c := &child{in: in, out: json.NewDecoder(out)}
	check(b, c.out.Decode(&c.childInfo))
	return c
}

// usage requests the child's resource usage.
func (c *child) usage(b *testing.B) usage {
	b.Helper()
	_, err := io.WriteString(c.in, "\n")
	check(b, err)
	var u usage
	check(b, c.out.Decode(&u))
	return u
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
