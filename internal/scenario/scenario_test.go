// Package scenario_test checks the guarantees end to end with the shipped programs:
// the daemon, the stand-ins and the operators' client.
package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is where TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chervilladder-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               func(e *testscript.Env) error { e.Values[stateKey{}] = newState(); return nil },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"world":       cmdWorld,
			"sql":         cmdSQL,
			"signal":      cmdSignal,
			"start":       cmdStart,
			"fault":       cmdFault,
			"status":      cmdStatus,
			"roles":       cmdRoles,
			"load":        cmdLoad,
			"await-acked": cmdAwaitAcked,
			"verify":      cmdVerify,
			"flood":       cmdFlood,

			"no-unknown":   cmdNoUnknown,
			"ctl":          cmdCtl,
			"drain":        cmdDrain,
			"await-owner":  cmdAwaitOwner,
			"await-exit":   cmdAwaitExit,
			"leave":        cmdLeave,
			"unlist":       cmdUnlist,
			"await-unused": cmdAwaitUnused,
		},
	})
}

type stateKey struct{}

// state is what the commands of one scenario share.
type state struct {
	world   *world
	history *history
	load    *load
	flood   *flood
	conns   map[string]*pgx.Conn
}

func newState() *state {
	return &state{history: newHistory(), conns: map[string]*pgx.Conn{}}
}

func stateOf(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}

// optionOr returns the value of NAME=VALUE among arguments, or the fallback.
func optionOr(args []string, name, fallback string) string {
	for _, a := range args {
		if v, ok := strings.CutPrefix(a, name+"="); ok {
			return v
		}
	}
	return fallback
}

func intOption(ts *testscript.TestScript, args []string, name string, fallback int) int {
	n, err := strconv.Atoi(optionOr(args, name, strconv.Itoa(fallback)))
	ts.Check(err)
	return n
}

// world [vms=N] [upstreams=N] [slots=N] [lag=D] [statement=D] [service=FILE]
// starts the processes and waits until each VM serves writes.
func cmdWorld(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	service, err := os.ReadFile("testdata/service.json")
	if file := optionOr(args, "service", ""); file != "" {
		service, err = []byte(ts.ReadFile(file)), nil
	}
	ts.Check(err)
	w, err := newWorld(ts.MkAbs("."), binaries, worldConfig{
		vms:           intOption(ts, args, "vms", 2),
		upstreams:     intOption(ts, args, "upstreams", 3),
		slots:         intOption(ts, args, "slots", 3),
		lag:           optionOr(args, "lag", "20ms"),
		statementTime: optionOr(args, "statement", "1ms"),
		service:       string(service),
	})
	ts.Check(err)
	s.world = w
	ts.Defer(func() {
		if s.load != nil {
			s.load.end()
		}
		if s.flood != nil {
			s.flood.end()
		}
		w.stop()
		if os.Getenv("SCENARIO_LOGS") != "" {
			ts.Logf("%s", w.logs())
		}
	})
	for _, vm := range w.vms {
		ts.Check(w.awaitServing(vm))
	}
}

func (w *world) awaitServing(vm string) error {
	var last error
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); {
		if last = w.tryWrite(vm); last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve: %w\n%s", vm, last, w.logs())
}

func (w *world) tryWrite(vm string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := w.connect(ctx, vm, "setup")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "DELETE FROM setup WHERE id = 'none'")
	return err
}

// [!] sql VM[/CONNECTION] STATEMENT [ARGUMENT…] runs a statement with pgx and
// prints its rows, or its SQLSTATE and message. A named connection stays open. All
// connections are of the user clerk, and connections of one user without a session name
// are one session, through whichever VM they go. A statement that begins with "simple:"
// is sent with the simple protocol.
func cmdSQL(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := s.runSQL(ctx, args[0], args[1], args[2:])
	var e *pgconn.PgError
	if errors.As(err, &e) {
		out += fmt.Sprintf("%s %s %s: %s (%s)\n", e.Severity, e.Code, e.Message, e.Detail, e.Hint)
	}
	_, _ = ts.Stdout().Write([]byte(out))
	switch {
	case neg && err == nil:
		ts.Fatalf("statement succeeded: %s", out)
	case !neg && err != nil:
		ts.Fatalf("statement failed: %v %s", err, out)
	}
}

func (s *state) runSQL(ctx context.Context, target, statement string, args []string) (string, error) {
	vm, name, named := strings.Cut(target, "/")
	user := "clerk"
	c := s.conns[target]
	if c == nil || c.IsClosed() {
		var err error
		if c, err = s.world.connect(ctx, vm, user); err != nil {
			return "", err
		}
	}
	if named && name != "" {
		s.conns[target] = c
	} else {
		defer func() { _ = c.Close(ctx) }()
	}
	var values []any
	if rest, ok := strings.CutPrefix(statement, "simple:"); ok {
		statement, values = rest, append(values, pgx.QueryExecModeSimpleProtocol)
	}
	for _, a := range args {
		values = append(values, a)
	}
	rows, err := c.Query(ctx, statement, values...)
	if err != nil {
		return "", err
	}
	return printRows(rows)
}

func printRows(rows pgx.Rows) (string, error) {
	var b strings.Builder
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return b.String(), err
		}
		fmt.Fprintln(&b, values...)
	}
	return b.String(), rows.Err()
}

// roles sets OWNER to the VM that owns the database, OTHER to another VM, and
// PRIMARY to the primary. These aren't the database roles of service.json.
func cmdRoles(ts *testscript.TestScript, _ bool, _ []string) {
	w := stateOf(ts).world
	primary := w.primary()
	owner := w.statuses()[primary].Owner
	ts.Setenv("PRIMARY", primary)
	ts.Setenv("OWNER", owner)
	for _, vm := range w.vms {
		if vm != owner {
			ts.Setenv("OTHER", vm)
		}
	}
}

// signal NAME KILL|STOP|CONT|TERM sends a signal to a process. After KILL and TERM it
// waits until the process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
	w := stateOf(ts).world
	if err := w.signal(args[0], signals[args[1]]); err != nil {
		ts.Fatalf("%v\n%s", err, w.logs())
	}
}

// start NAME restarts a process.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).world.start(args[0]))
}

// fault NAME PATH [BODY] makes a control call to a stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	ts.Check(w.call(http.MethodPost, "http://"+w.controlAddresses[args[0]]+args[1], strings.Join(args[2:], " ")))
}

// status NAME prints the status of a stand-in.
func cmdStatus(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	path := "/status"
	if args[0] == "platform" {
		path = "/control/status"
	}
	answer, err := http.Get("http://" + w.controlAddresses[args[0]] + path)
	ts.Check(err)
	defer answer.Body.Close()
	_, err = io.Copy(ts.Stdout(), answer.Body)
	ts.Check(err)
}

// load WORKERS starts this many sessions. Each writes through one VM and reads the row
// back through the next. load stop ends them.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	if args[0] == "stop" {
		s.load.end()
		s.load = nil
		return
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s.load = startLoad(s.world, s.history, n)
}

// await-acked N waits until N more writes are acknowledged.
func cmdAwaitAcked(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	want := s.history.count(outcomeAcknowledged) + n
	for until := time.Now().Add(waitTimeout); s.history.count(outcomeAcknowledged) < want; {
		if time.Now().After(until) {
			ts.Fatalf("%d of %d writes acknowledged\n%s", s.history.count(outcomeAcknowledged), want, s.world.logs())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// verify compares the outcomes reported to callers with the content of the database.
func cmdVerify(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	if err := s.history.verify(context.Background(), s.world); err != nil {
		ts.Fatalf("%v\n%s", err, s.world.logs())
	}
	ts.Logf("done %d, not run %d, unknown %d", s.history.count(outcomeAcknowledged), s.history.count(outcomeNotRun), s.history.count(outcomeUnknown))
	for _, u := range s.history.unknown {
		ts.Logf("unknown: %s", u)
	}
}

// flood CALLERS starts callers that send background work without pausing;
// flood stop ends them.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	if args[0] == "stop" {
		s.flood.end()
		s.flood = nil
		return
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s.flood = startFlood(s.world, n)
}

// no-unknown fails if the outcome of any write is unknown to its caller.
func cmdNoUnknown(ts *testscript.TestScript, _ bool, _ []string) {
	if unknown := stateOf(ts).history.unknown; len(unknown) > 0 {
		ts.Fatalf("%d writes of unknown outcome:\n%s", len(unknown), strings.Join(unknown, "\n"))
	}
}

// [!] ctl ARGUMENT… runs the operators' client. In its arguments, PLATFORM, VM-1 and
// VM-2 stand for the addresses of the platform and of these VMs for operators.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	w := stateOf(ts).world
	for i, a := range args {
		args[i] = strings.NewReplacer("PLATFORM", w.platform, "VM-1", w.operatorAddresses["vm-1"], "VM-2", w.operatorAddresses["vm-2"]).Replace(a)
	}
	err := ts.Exec(binaries+"/chervilladderctl", args...)
	if (err != nil) != neg {
		ts.Fatalf("chervilladderctl: %v", err)
	}
}
