package scenario_test

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// vmStatus is what a scenario reads of a VM's status.
type vmStatus struct {
	VM    string   `json:"vm"`
	State string   `json:"state"`
	Owned []string `json:"owned"`
}

func (w *world) vmStatus(vm string) (vmStatus, error) {
	var s vmStatus
	answer, err := http.Get("http://" + w.operators[vm] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// ends NAME waits until a process has ended by itself.
func cmdEnds(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	w.mu.Lock()
	p := w.processes[args[0]]
	w.mu.Unlock()
	select {
	case <-p.done:
		ts.Check(p.err)
	case <-time.After(patience):
		ts.Fatalf("%s does not end", args[0])
	}
}

// drain VM orders a VM to drain, as operators do.
func cmdDrain(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	ts.Check(w.call(http.MethodPost, "http://"+w.operators[args[0]]+"/v1/drain", ""))
}

// owns VM waits until a VM takes itself for the owner.
func cmdOwns(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts).world
	for until := time.Now().Add(patience); time.Now().Before(until); {
		if s, err := w.vmStatus(args[0]); err == nil && len(s.Owned) > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s does not become the owner", args[0])
}
