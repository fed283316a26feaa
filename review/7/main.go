// Command 7 shows that after the store has come back from a copy the duty of promotions is
// performed with an epoch number below one that the platform has seen.
package main

import (
	"os"
	"time"

	"github.com/chervilladder/chervilladder/review/lab"
)

const service = "agenda"

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(lab.NotRun)
	}
	c := lab.Config{Record: record, VMs: 3, Services: []string{service}, Spares: 2}
	os.Exit(lab.Run(c, play))
}

func play(w *lab.World) bool {
	w.Configure(lab.Configuration{Version: 7, Services: []string{service}, Routes: []lab.Route{{Host: "salas", Service: service}}})
	w.StartVMs()
	time.Sleep(lab.Stability)
	first := w.Holder()

	// Planned work: the holder is restarted, and meanwhile a primary is replaced.
	w.Join(service, 3)
	before := w.Store.Copy()
	first.Stop()
	w.DrainPrimary(service)
	first.Start()
	first.AwaitReady()

	if os.Getenv("TROUBLE") != "0" {
		w.Store.Drill(before, time.Second)
		w.ConfigureAgain()
	}
	time.Sleep(2 * lab.Stability)
	write(w)

	// Planned work once more.
	w.Join(service, 4)
	w.DrainPrimary(service)
	write(w)
	return judge(w)
}

// write shows that the system serves.
func write(w *lab.World) {
	for _, v := range w.VMs {
		client, _ := lab.Dial(v, "salas", "u1")
		if client == nil {
			continue
		}
		id := lab.NextID()
		w.Record.Notef("client of %s: QUERY %s WRITE 1a4 hold -> %q", v.Name, id, client.Query(id, "WRITE 1a4 hold").Last)
		client.Close()
	}
}

// judge reports whether rule ONE held: no two holders share an epoch number, and none is
// lower than one that the platform has seen.
func judge(w *lab.World) bool {
	held := true
	holders := make(map[uint64]string)
	var highest uint64
	for _, o := range w.Orders() {
		if o.Epoch < highest {
			w.Record.Notef("ONE: %s sends the epoch number %d after the platform has seen %d", o.Holder, o.Epoch, highest)
			held = false
		}
		if h, ok := holders[o.Epoch]; ok && h != o.Holder {
			w.Record.Notef("ONE: %s and %s promote with the same epoch number %d", h, o.Holder, o.Epoch)
			held = false
		}
		highest, holders[o.Epoch] = max(highest, o.Epoch), o.Holder
	}
	return held
}
