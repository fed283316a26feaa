// Command 10 shows that after the store has come back from a copy VMs that follow others
// learn of no further change of the backends.
package main

import (
	"os"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder/review/lab"
)

const service = "agenda"

// The members: the primary, a replica, one that leaves, and its successor.
const (
	primary   = "i-a1"
	replica   = "i-b1"
	leaving   = "i-c1"
	successor = "i-d1"
)

// The config's changes before the disruption: how many, and the time between two.
const (
	changes   = 8
	changeGap = 330 * time.Millisecond
)

// Times of the clients and of the end.
const (
	readPause = 50 * time.Millisecond
	// leavesAfter is how much longer than its drain the replica serves.
	leavesAfter = 3 * time.Second
)

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(lab.NotRun)
	}
	c := lab.Config{Record: record, VMs: 24, Groups: map[string][]string{service: {primary, replica, leaving}}}
	os.Exit(lab.Run(c, play))
}

func play(w *lab.World) bool {
	version := 7
	configure := func(timeoutMS int) {
		w.Configure(config(version, timeoutMS))
		version += 3
	}
	configure(2000)
	w.StartVMs()
	time.Sleep(2 * lab.Stability)

	before := w.Store.Copy()
	for i := range changes {
		configure(2001 + i)
		time.Sleep(changeGap)
	}
	// Planned work: a replica is to be replaced, and its successor starts.
	g := w.Groups[service]
	members := g.Members()
	g.Start(successor, "127.0.0.1:0")
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		w.Store.Drill(before, time.Second)
		w.ConfigureAgain()
	}
	time.Sleep(2 * lab.Stability)

	stop := read(w)
	g.Drain(members[leaving])
	drained := time.Now()
	time.Sleep(lab.Drain + leavesAfter)
	stop()
	g.Leave(members[leaving])
	return judge(w, members[leaving], drained)
}

func config(version, timeoutMS int) lab.Configuration {
	return lab.Configuration{
		Version: version, Services: []string{service},
		Routes: []lab.Route{{Host: "libres", Service: service, Kind: "bounded", TimeoutMS: timeoutMS, MaxAgeMS: 1500}},
	}
}

// read has a client read through each VM until the function that it returns is called.
func read(w *lab.World) (stop func()) {
	var all sync.WaitGroup
	ended := make(chan struct{})
	for _, v := range w.VMs {
		all.Go(func() {
			c, _ := lab.Dial(v, "libres", "u1")
			for c != nil {
				a := c.Query(lab.NextID(), "READ 1a4")
				if !a.OK() {
					w.Record.Notef("client of %s: READ 1a4 -> %q", v.Name, a.Last)
				}
				if a.Ready == "" {
					return
				}
				select {
				case <-ended:
					c.Close()
					return
				case <-time.After(readPause):
				}
			}
		})
	}
	return func() {
		close(ended)
		all.Wait()
	}
}

// judge reports whether rule DRAIN held: no request reached the replica later than the
// drain's end.
func judge(w *lab.World, m *lab.Member, drained time.Time) bool {
	late := make(map[string]int)
	for _, e := range w.Groups[service].Executions() {
		if e.Member == m && e.At.Sub(drained) > lab.Drain {
			late[e.Caller]++
		}
	}
	for caller, n := range late {
		w.Record.Notef("DRAIN: %d requests of %s reached %s later than %d ms after its report was acknowledged", n, caller, m.ID, lab.Drain.Milliseconds())
	}
	w.Record.Notef("requests reached %s late from %d VMs", m.ID, len(late))
	return len(late) == 0
}
