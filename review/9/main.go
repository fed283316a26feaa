// Command 9 shows that a VM which starts while a primary drains gives it work for longer
// than its drain lasts.
package main

import (
	"os"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder/review/lab"
)

const service = "agenda"

// The members: the primary, which leaves, a replica, one that is lost for good, and the
// primary's successor.
const (
	primary   = "i-a1"
	replica   = "i-b1"
	lost      = "i-c1"
	successor = "i-d1"
)

// Times of the clients and of the end.
const (
	writePause = 20 * time.Millisecond
	// leavesAfter is how much longer than its drain the primary serves.
	leavesAfter  = 500 * time.Millisecond
	settledAfter = 14 * time.Second
)

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(lab.NotRun)
	}
	c := lab.Config{Record: record, VMs: 3, Groups: map[string][]string{service: {primary, replica, lost}}}
	os.Exit(lab.Run(c, play))
}

func play(w *lab.World) bool {
	trouble := os.Getenv("TROUBLE") != "0"
	w.Configure(lab.Configuration{Version: 7, Services: []string{service}, Routes: []lab.Route{{Host: "salas", Service: service}}})
	w.StartVMs()
	g := w.Groups[service]
	g.Start(successor, "127.0.0.1:0")
	time.Sleep(2 * lab.Stability)
	members := g.Members()
	restarted := w.VMs[0]

	// A replica is lost for good, and planned work begins: the primary leaves.
	g.AwaitBeat(members[lost])
	start := time.Now()
	at := func(after time.Duration, act func()) {
		time.Sleep(time.Until(start.Add(after)))
		act()
	}
	if trouble {
		g.Crash(members[lost])
	}
	g.Drain(members[primary])
	drained := time.Now()
	time.AfterFunc(lab.Drain+leavesAfter, func() { g.Leave(members[primary]) })
	// Planned work: a VM is stopped and started.
	var ready time.Time
	at(200*time.Millisecond, restarted.Terminate)
	at(2500*time.Millisecond, func() {
		restarted.Restart()
		ready = time.Now()
	})
	stop := write(w, restarted)
	at(settledAfter, stop)
	return judge(w, members[primary], drained, ready.Add(lab.Stability))
}

// write has clients write through a VM until the function that it returns is called.
func write(w *lab.World, v *lab.VM) (stop func()) {
	const writers = 4
	var all sync.WaitGroup
	ended := make(chan struct{})
	for range writers {
		all.Go(func() {
			for {
				c, _ := lab.DialQuietly(v, "salas", "u1")
				for ok := c != nil; ok; {
					id := lab.NextID()
					a := c.Query(id, "WRITE 1a4 hold")
					w.Record.Notef("client of %s: QUERY %s WRITE 1a4 hold -> %q", v.Name, id, a.Last)
					if ok = a.Ready != ""; !ok {
						c.Close()
					}
					select {
					case <-ended:
						c.Close()
						return
					case <-time.After(writePause):
					}
				}
				select {
				case <-ended:
					return
				case <-time.After(writePause):
				}
			}
		})
	}
	return func() {
		close(ended)
		all.Wait()
	}
}

// judge reports whether rule DRAIN held: no request reached the primary later than the
// drain's end, through a VM that is in touch.
func judge(w *lab.World, p *lab.Member, drained, inTouch time.Time) bool {
	late := 0
	for _, r := range w.Groups[service].Executions() {
		after := r.At.Sub(drained)
		if r.Member != p || after <= lab.Drain || r.At.Before(inTouch) {
			continue
		}
		w.Record.Notef("DRAIN: the request %s of %s reached %s %d ms after its report was acknowledged", r.ID, r.Caller, p.ID, after.Milliseconds())
		late++
	}
	w.Record.Notef("%d requests reached %s later than %d ms after its report; the VM is in touch from %d ms after it",
		late, p.ID, lab.Drain.Milliseconds(), inTouch.Sub(drained).Milliseconds())
	return late == 0
}
