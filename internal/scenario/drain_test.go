package scenario_test

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// vmStatus holds the fields of a VM's status that scenarios use.
type vmStatus struct {
	VM    string   `json:"vm"`
	State string   `json:"state"`
	Owned []string `json:"owned"`
}

func (w *world) vmStatus(vm string) (vmStatus, error) {
	var s vmStatus
	answer, err := http.Get("http://" + w.operatorAddresses[vm] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// await-exit NAME waits until a process has exited by itself.
func cmdAwaitExit(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	w.mu.Lock()
	p := w.processes[args[0]]
	w.mu.Unlock()
	select {
	case <-p.done:
		ts.Check(p.err)
	case <-time.After(waitTimeout):
		ts.Fatalf("%s does not exit", args[0])
	}
}

// drain VM drains a VM through its operators' API.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	ts.Check(w.call(http.MethodPost, "http://"+w.operatorAddresses[args[0]]+"/v1/drain", ""))
}

// await-owner VM waits until a VM considers itself the owner.
func cmdAwaitOwner(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); {
		if s, err := w.vmStatus(args[0]); err == nil && len(s.Owned) > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s does not become the owner", args[0])
}
