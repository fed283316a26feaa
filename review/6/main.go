// Command 6 shows that a VM which replaces a primary by an outdated list of members loses
// acknowledged commits.
package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/chervilladder/chervilladder/review/lab"
)

const service = "agenda"

// The members: the primary and a replica, which crash together and come back under other
// ids, and a replica that stays up.
const (
	primary, primaryBack = "i-a1", "i-a2"
	replica              = "i-b1"
	crashed, crashedBack = "i-c1", "i-c2"
)

// Times of the clients and of the end.
const (
	writersPerVM = 3
	writePause   = 40 * time.Millisecond
	settledAfter = 16 * time.Second
	// beatGap is the time between the heartbeats of the replica that crashes and of the
	// primary.
	beatGap = 800 * time.Millisecond
)

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(lab.NotRun)
	}
	c := lab.Config{Record: record, VMs: 3, BeatGap: beatGap, Groups: map[string][]string{service: {primary, replica, crashed}}}
	os.Exit(lab.Run(c, play))
}

func play(w *lab.World) bool {
	trouble := os.Getenv("TROUBLE") != "0"
	w.Configure(lab.Configuration{Version: 7, Services: []string{service}, Routes: []lab.Route{{Host: "salas", Service: service}}})
	w.StartVMs()
	time.Sleep(lab.Stability)
	holder := w.Holder()
	others := slices.DeleteFunc(slices.Clone(w.VMs), func(v *lab.VM) bool { return v == holder })
	g := w.Groups[service]
	members := g.Members()
	acked, stop := startWriters(w)
	time.Sleep(lab.Stability)

	// A rack goes down with the primary and one of the replicas, and comes back.
	g.AwaitBeat(members[primary])
	at := timeline()
	if trouble {
		at(200*time.Millisecond, func() {
			g.Crash(members[primary])
			g.Crash(members[crashed])
		})
	}
	// One connection of the holder to the store, that of its watch of the backends, goes
	// silent after it has told that the primary's entry is gone.
	var watches <-chan struct{}
	at(3500*time.Millisecond, func() { watches = holder.Store.SilenceNext("objects/servers?watch=", trouble) })
	select {
	case <-watches:
	case <-time.After(lab.Stability):
		lab.Abort("%s does not watch the backends", holder.Name)
	}
	w.Record.Notef("%s watches the backends; from now on this connection is silent: %v", holder.Name, trouble)
	// Planned work: the other VMs are stopped and started in turn.
	if trouble {
		at(4500*time.Millisecond, func() { g.Return(members[crashed], crashedBack) })
	}
	at(4600*time.Millisecond, others[0].Terminate)
	at(5100*time.Millisecond, others[1].Terminate)
	if trouble {
		at(5800*time.Millisecond, func() { g.Return(members[primary], primaryBack) })
	}
	at(8*time.Second, others[0].Restart)
	at(9*time.Second, others[1].Restart)
	at(settledAfter, stop)
	return judge(w, acked())
}

// timeline returns a function that waits until some time after now and then acts.
func timeline() func(after time.Duration, act func()) {
	start := time.Now()
	return func(after time.Duration, act func()) {
		time.Sleep(time.Until(start.Add(after)))
		act()
	}
}

// startWriters starts clients that write through all VMs. The first function that it
// returns tells the ids of the writes that were acknowledged, the second one ends them.
func startWriters(w *lab.World) (acked func() []string, stop func()) {
	var mu sync.Mutex
	var ids []string
	var writers sync.WaitGroup
	ended := make(chan struct{})
	note := func(v *lab.VM, id string, a lab.Answer) {
		w.Record.Notef("client of %s: QUERY %s WRITE 1a4 hold -> %q", v.Name, id, a.Last)
		if a.OK() {
			mu.Lock()
			ids = append(ids, id)
			mu.Unlock()
		}
	}
	for _, v := range w.VMs {
		for i := range writersPerVM {
			writers.Go(func() { write(v, fmt.Sprintf("u%d", i), ended, note) })
		}
	}
	return func() []string { return ids }, func() {
		close(ended)
		writers.Wait()
	}
}

// write writes through a VM until ended is closed, in one session after the other.
func write(v *lab.VM, who string, ended <-chan struct{}, note func(*lab.VM, string, lab.Answer)) {
	for {
		c, _ := lab.DialQuietly(v, "salas", who)
		for ok := c != nil; ok; {
			id := lab.NextID()
			a := c.Query(id, "WRITE 1a4 hold")
			note(v, id, a)
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
}

// judge reports whether rule LOST held: all acknowledged commits are in the log of the
// backend that was promoted.
func judge(w *lab.World, acked []string) bool {
	p := w.Groups[service].Primary()
	if p == nil {
		lab.Abort("no backend leads")
	}
	log := w.Groups[service].Log(p)
	lost := 0
	for _, id := range acked {
		if !slices.Contains(log, id) {
			w.Record.Notef("LOST: the write %s was acknowledged and is not in the log of %s", id, p.ID)
			lost++
		}
	}
	w.Record.Notef("%d writes were acknowledged, %d of them are lost", len(acked), lost)
	return lost == 0
}
