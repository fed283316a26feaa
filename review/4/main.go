// Command 4 shows that requests which a stopping process has accepted are cut off
// without an answer.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder/review/harness"
)

const (
	vms     = 5
	clients = 40
	// pause is a client's pause between two statements.
	pause = 5 * time.Millisecond
	// grace and lossSlack are those of the settings; excusedUntil is until when after
	// the signal a request must be sent for a backend's work to excuse its loss.
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	excusedUntil = 3 * time.Second
)

func main() { harness.Main(harness.Case{VMs: vms, Run: run}) }

// lost is a statement whose connection ended without an answer.
type lost struct {
	id        string
	vm        *harness.VM
	sent, end time.Time
}

func run(w *harness.World) int {
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	var list []lost
	answered := 0
	for i := range clients {
		running.Go(func() {
			gone, n := client(w, i, stop)
			mu.Lock()
			defer mu.Unlock()
			list, answered = append(list, gone...), answered+n
		})
	}
	time.Sleep(3 * time.Second)
	var signalled time.Time
	if w.Trouble {
		signalled = time.Now()
		for _, vm := range w.VMs {
			vm.Terminate()
		}
	}
	time.Sleep(grace + time.Second)
	close(stop)
	running.Wait()
	w.Recordf("%d statements answered, %d ended without an answer", answered, len(list))
	if answered == 0 {
		return harness.NotRun
	}
	return judge(w, list, signalled)
}

// client runs statements, each time at the next process that accepts it, as the platform
// does while no machine is in rotation.
func client(w *harness.World, number int, stop <-chan struct{}) (gone []lost, answered int) {
	var c *harness.Client
	var vm *harness.VM
	for serial := 0; ; serial++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return gone, answered
		case <-time.After(pause):
		}
		if c == nil {
			vm = w.VMs[(number+serial)%len(w.VMs)]
			var err error
			if c, err = harness.Dial(vm.IP, "bookings", fmt.Sprintf("c%d", number)); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%02d-%05d", number, serial)
		sent := time.Now()
		if answer, err := c.Query(id, "WRITE 1a4 "+id); err != nil {
			w.Recordf("client %d: %s at %s, sent %.3f s ago, ended with %q %v", number, id, vm.Name, time.Since(sent).Seconds(), answer, err)
			gone = append(gone, lost{id, vm, sent, time.Now()})
			c.Close()
			c = nil
			continue
		}
		answered++
	}
}

// judge returns whether a statement was lost by the rule.
func judge(w *harness.World, list []lost, signalled time.Time) int {
	ran := make(map[string]time.Time)
	for _, e := range w.Cluster.Executions() {
		ran[string(e.Command.ID)] = e.At
	}
	result := harness.Held
	for _, l := range list {
		at, passedOn := ran[l.id]
		since := l.sent.Sub(signalled)
		excused := since <= excusedUntil && l.end.Sub(signalled) >= grace*5/6
		if passedOn && at.Before(l.end) || l.end.Sub(l.sent) > lossSlack {
			w.Recordf("%s: sent to %s %.3f s after its SIGTERM, run by a server: %v, connection ended %.3f s after it was sent; excused: %v",
				l.id, l.vm.Name, since.Seconds(), passedOn, l.end.Sub(l.sent).Seconds(), excused)
			if !excused && since >= 0 {
				w.Recordf("LOST: %s", l.id)
				result = harness.Broken
			}
		}
	}
	return result
}
