package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// serviceFile returns the path of the last published service file.
func (w *world) serviceFile() string {
	return filepath.Join(w.dir, "services", "ledger.json")
}

// republish changes the service file and publishes it.
func (w *world) republish(change func(text string) string) error {
	old, err := os.ReadFile(w.serviceFile())
	if err != nil {
		return err
	}
	text := change(string(old))
	if text == string(old) {
		return fmt.Errorf("the service file does not change")
	}
	if err := os.WriteFile(w.serviceFile(), []byte(text), 0o644); err != nil {
		return err
	}
	ctl := filepath.Join(w.bin, "chervilladderctl")
	out, err := exec.Command(ctl, "publish", "--platform", w.platform, "--operator", "scenario", filepath.Dir(w.serviceFile())).CombinedOutput()
	if err != nil {
		return fmt.Errorf("publish: %w: %s", err, out)
	}
	return nil
}

// leave NAME publishes an upstream as leaving.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	name := fmt.Sprintf(`{"name": %q,`, args[0])
	ts.Check(stateOf(ts).world.republish(func(text string) string {
		return strings.Replace(text, name, name+` "leaving": true,`, 1)
	}))
}

// unlist NAME publishes the service without an upstream.
func cmdUnlist(ts *testscript.TestScript, _ bool, args []string) {
	name := fmt.Sprintf(`{"name": %q,`, args[0])
	ts.Check(stateOf(ts).world.republish(func(text string) string {
		lines := strings.SplitAfter(text, "\n")
		for i, l := range lines {
			if strings.Contains(l, name) {
				lines[i] = ""
			}
		}
		return strings.Join(lines, "")
	}))
}

// callerCommands are the SQL commands that only callers send. Status queries and
// transaction commands are counted under other keys.
var callerCommands = []string{"SELECT", "INSERT", "UPDATE", "DELETE"}

func (s memberStatus) statements() int {
	n := 0
	for _, command := range callerCommands {
		n += s.Connections.Statements[command]
	}
	return n
}

// await-unused NAME waits until a member is a replica to which only the owner's
// control connection is open. Then it checks that no connection is opened to it and
// that it runs no caller's statement while 200 more writes are acknowledged.
func cmdAwaitUnused(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	before := s.awaitUnused(ts, args[0])
	cmdAwaitAcked(ts, false, []string{"200"})
	after, err := s.world.member(args[0])
	ts.Check(err)
	ts.Logf("statements %d before, %d after; connections opened %d before, %d after",
		before.statements(), after.statements(), before.Connections.Opened, after.Connections.Opened)
	if after.statements() != before.statements() || after.Connections.Opened != before.Connections.Opened {
		ts.Fatalf("%s got work: %+v, then %+v", args[0], before, after)
	}
}

func (s *state) awaitUnused(ts *testscript.TestScript, name string) memberStatus {
	began := time.Now()
	for {
		m, err := s.world.member(name)
		ts.Check(err)
		if m.Role == "replica" && m.Connections.Open <= 1 {
			ts.Logf("%s is unused after %v", name, time.Since(began).Round(time.Millisecond))
			return m
		}
		if time.Since(began) > waitTimeout {
			ts.Fatalf("%s is still used: %+v\n%s", name, m, s.world.logs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
