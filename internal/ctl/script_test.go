package ctl_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/ctl"
	"github.com/chervilladder/chervilladder/internal/platformtest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chervilladderctl": func() {
			code := ctl.Run(context.Background(), ctl.Config{
				Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr, User: os.Getenv("USER"),
			})
			os.Exit(int(code))
		},
	})
}

// storeKey is the key of a script's platform in testscript.Env.Values.
type storeKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": platformCommand,
			"vm":       vmCommand,
			"exits":    exitsCommand,
		},
	})
}

func setUp(env *testscript.Env) error {
	store := platformtest.New()
	server := httptest.NewServer(store.Handler())
	env.Defer(server.Close)
	env.Values[storeKey{}] = store
	env.Setenv("CHERVILLADDER_PLATFORM", server.Listener.Addr().String())
	env.Setenv("CHERVILLADDER_OPERATOR", "ana")
	return nil
}

// platformCommand sets the platform's faults. With unknown-index, the write of
// the index and those after it are lost.
func platformCommand(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value(storeKey{}).(*platformtest.Store)
	n := 0
	if len(args) == 2 {
		var err error
		n, err = strconv.Atoi(args[1])
		ts.Check(err)
	}
	faults := map[string]platformtest.Faults{
		"up":           {},
		"down":         {Down: true},
		"lose-answers": {LoseResponses: n},
		"lose-puts":    {LosePuts: n},
		"unknown-index": {BeforePut: func(o chervilladder.Object) error {
			if o.Kind == chervilladder.KindIndex {
				store.SetFaults(platformtest.Faults{LosePuts: 100})
			}
			return nil
		}},
	}
	f, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("usage: platform up|down|lose-answers N|lose-puts N|unknown-index")
	}
	store.SetFaults(f)
}

// vmCommand serves a directory as a VM: GET PATH returns the file PATH.json,
// and POST PATH creates the file PATH.posted. The variable is set to the VM's
// address.
func vmCommand(ts *testscript.TestScript, _ bool, args []string) {
	variable, dir := args[0], ts.MkAbs(args[1])
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			ts.Check(os.WriteFile(dir+r.URL.Path+".posted", nil, 0o600))
			return
		}
		http.ServeFile(w, r, dir+r.URL.Path+".json")
	}))
	ts.Defer(server.Close)
	ts.Setenv(variable, server.Listener.Addr().String())
}

// exitsCommand runs a command and checks its exit code.
func exitsCommand(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	got := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		got = fmt.Sprint(err)
		got = got[len("exit status "):]
	}
	if got != want {
		ts.Fatalf("exit code %s, want %s", got, want)
	}
}
