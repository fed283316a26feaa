package session_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
	"github.com/chervilladder/chervilladder/internal/recovery"
)

// panicOnce makes the VM's next receipt of a response to a session panic.
func panicOnce(vm *clustertest.VM) {
	vm.Linker.OnReceive(func(chervilladder.UpstreamID) {
		vm.Linker.OnReceive(func(chervilladder.UpstreamID) {})
		panic("injected")
	})
}

// A panic while a write, a read, a commit or a statement of a transaction is in flight
// must leave the session's slot free and its connection closed: later work gets its own
// answers, and all slots.
func TestPanicInFlight(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, s chervilladder.Session, arm func()){
		"write": func(_ *testing.T, s chervilladder.Session, arm func()) {
			arm()
			s.Do(context.Background(), write("lost"))
		},
		"read": func(t *testing.T, s chervilladder.Session, arm func()) {
			arm()
			if r := s.Do(context.Background(), read("lost")); r.Code == chervilladder.CodeNone {
				t.Error("an answer that was lost is reported")
			}
		},
		"statement of a transaction": func(t *testing.T, s chervilladder.Session, arm func()) {
			do(t, s, begin())
			do(t, s, write("first"))
			arm()
			s.Do(context.Background(), write("lost"))
		},
		"commit": func(t *testing.T, s chervilladder.Session, arm func()) {
			do(t, s, begin())
			do(t, s, write("first"))
			arm()
			s.Do(context.Background(), commit())
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, clustertest.Config{Lag: 10 * time.Millisecond}, func(is *is.I, w *clustertest.World) {
				vm, silent := w.VMs[0], logrus.New()
				silent.SetOutput(io.Discard)
				for range 20 {
					s := w.Open(t, 0, clustertest.PrimaryDB)
					_ = recovery.Call(silent, "test", func() { run(t, s, func() { panicOnce(vm) }) }) // as the front end
					s.Close()
				}
				time.Sleep(2 * time.Second)
				for _, id := range []string{"a", "b", "c", "d"} {
					s := w.Open(t, 0, clustertest.PrimaryDB)
					began := time.Now()
					do(t, s, write(id))
					is.True(time.Since(began) < 100*time.Millisecond) // a slot was free
					do(t, s, read("r"+id))
					s.Close()
				}
			})
		})
	}
}
