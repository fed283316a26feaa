// Command 8 shows that after the store has come back from a copy the VMs ignore the
// operator's further configs.
package main

import (
	"os"
	"slices"
	"time"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/review/lab"
)

// The services: the one that serves the database at first, and the one that it is moved to.
const (
	oldService = "agenda"
	newService = "archive"
)

func main() {
	record, err := lab.NewRecord(os.Args[1])
	if err != nil {
		os.Exit(lab.NotRun)
	}
	c := lab.Config{Record: record, VMs: 3, Services: []string{oldService, newService}, Contracts: []string{"tenants"}}
	os.Exit(lab.Run(c, play))
}

// The config's changes: how many come in quick succession before the disruption, and the
// time between two.
const (
	changes   = 8
	changeGap = 330 * time.Millisecond
)

func play(w *lab.World) bool {
	version := 7
	configure := func(timeoutMS int, last bool) {
		w.Configure(config(version, timeoutMS, last))
		version += 3
	}
	configure(1000, false)
	w.StartVMs()
	time.Sleep(lab.Stability)

	before := w.Store.Copy()
	for i := range changes {
		configure(1001+i, false)
		time.Sleep(changeGap)
	}
	time.Sleep(time.Second)
	if os.Getenv("TROUBLE") != "0" {
		w.Store.Drill(before, time.Second)
		w.ConfigureAgain()
	}
	time.Sleep(lab.Stability + 2*time.Second)

	configure(1000, true)
	time.Sleep(lab.ConfigApply + lab.Outer)
	return judge(w)
}

// config returns a version of the config. The last one moves a database to another
// service, drops a route, adds one, and takes a key away.
func config(version, timeoutMS int, last bool) lab.Configuration {
	route := func(host, service string) lab.Route {
		return lab.Route{Host: host, Service: service, TimeoutMS: timeoutMS}
	}
	c := lab.Configuration{
		Version: version, Services: []string{oldService, newService},
		Routes:  []lab.Route{route("salas", oldService), route("dropped", oldService)},
		Tenants: []lab.Tenant{{Name: "ana", Keys: []string{"key-ana"}}, {Name: "bea", Keys: []string{"key-bea"}}},
	}
	if last {
		c.Routes = []lab.Route{route("salas", newService), route("added", newService)}
		c.Tenants[1].Keys = nil
	}
	return c
}

// judge reports whether rule CONFIG held: each VM handles requests as the last version says.
func judge(w *lab.World) bool {
	held := true
	check := func(v *lab.VM, ok bool, what string) {
		if !ok {
			w.Record.Notef("CONFIG: %s %s, as only an older version allows", v.Name, what)
			held = false
		}
	}
	for _, v := range w.VMs {
		client, _ := lab.Dial(v, "salas", "key-ana")
		if client == nil {
			lab.Abort("%s serves nobody", v.Name)
		}
		id := lab.NextID()
		answer := client.Query(id, "READ 1a4")
		client.Close()
		ranBy := ranBy(w, id)
		w.Record.Notef("client of %s: QUERY %s READ 1a4 -> %q %q, run by %v", v.Name, id, answer.Rows, answer.Last, ranBy)
		check(v, !slices.Contains(ranBy, oldService), "has a read of salas run by "+oldService)

		dropped, _ := lab.Dial(v, "dropped", "key-ana")
		check(v, dropped == nil, "serves the route that was dropped")
		_, answer = lab.Dial(v, "added", "key-ana")
		check(v, !answer.Failed("NODB"), "refuses the route that was added")
		withdrawn, _ := lab.Dial(v, "salas", "key-bea")
		if withdrawn != nil {
			answer = withdrawn.Query(lab.NextID(), "READ 1a4")
			w.Record.Notef("client of %s with the withdrawn key: READ 1a4 -> %q %q", v.Name, answer.Rows, answer.Last)
			check(v, !answer.OK(), "answers a read to the key that was taken away")
		}
	}
	return held
}

// ranBy returns the services whose backends have run a query.
func ranBy(w *lab.World, id string) []string {
	var list []string
	for name, s := range w.Services {
		for _, e := range s.Cluster.Executions() {
			if e.Command.ID == chervilladder.CommandID(id) {
				list = append(list, name)
			}
		}
	}
	return list
}
