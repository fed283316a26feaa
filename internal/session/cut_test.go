package session_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/clustertest"
)

// The VMs of the tests of a cut: hosts of two data centres, and VMs that forward to them.
const (
	cutHosts      = 6
	cutForwarders = 4
)

// tally counts the commands of a load by database.
type tally struct {
	mu           sync.Mutex
	sent, served map[chervilladder.DatabaseID]int
	texts        map[string]int
	// lostIn counts the commands that were not served by the second of their answer.
	lostIn map[int]int
	began  time.Time
}

func (c *tally) add(db chervilladder.DatabaseID, r chervilladder.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[db]++
	if r.Code == chervilladder.CodeNone {
		c.served[db]++
		return
	}
	text, _, _ := strings.Cut(r.Text, ";")
	c.texts[fmt.Sprintf("%s: code %d, %s", db, r.Code, text)]++
	c.lostIn[int(time.Since(c.began)/time.Second)]++
}

// share returns which share of a database's commands was served.
func (c *tally) share(db chervilladder.DatabaseID) float64 {
	return float64(c.served[db]) / float64(c.sent[db])
}

// setPriorities makes the work of one database the most urgent.
func setPriorities(w *clustertest.World) {
	for _, vm := range w.VMs {
		r := *vm.Board.Routing.Load()
		r.Routes = maps.Clone(r.Routes)
		for db, p := range map[chervilladder.DatabaseID]chervilladder.Priority{
			clustertest.OwnWritesDB: chervilladder.PriorityNormal, clustertest.BoundedDB: chervilladder.PriorityBackground,
		} {
			route := r.Routes[db]
			route.Priority = p
			r.Routes[db] = route
		}
		vm.Board.Routing.Store(&r)
	}
}

// play sends commands of all three databases through the forwarding VMs for a time.
func play(t *testing.T, w *clustertest.World, forwarders []int, length time.Duration) *tally {
	t.Helper()
	const (
		callers = 4
		every   = 100 * time.Millisecond
	)
	c := &tally{sent: map[chervilladder.DatabaseID]int{}, served: map[chervilladder.DatabaseID]int{}, texts: map[string]int{}, lostIn: map[int]int{}, began: time.Now()}
	var running sync.WaitGroup
	n := 0
	for _, vm := range forwarders {
		for _, db := range []chervilladder.DatabaseID{clustertest.PrimaryDB, clustertest.OwnWritesDB, clustertest.BoundedDB} {
			for caller := range callers {
				n++
				first := time.Duration(n) * every / (callers * 3 * cutForwarders)
				running.Go(func() {
					time.Sleep(first)
					sendEvery(t, w, vm, db, caller, every, length, c)
				})
			}
		}
	}
	running.Wait()
	return c
}

// sendEvery sends the commands of one caller, reads and writes in turn, and every fifth in
// a transaction.
func sendEvery(t *testing.T, w *clustertest.World, vm int, db chervilladder.DatabaseID, caller int, every, length time.Duration, c *tally) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := range int(length / every) {
		running.Go(func() {
			s, err := w.VMs[vm].Sessions.Open(db, chervilladder.Key(fmt.Sprint("caller ", vm, caller, i%8)))
			if err != nil {
				t.Error(err)
				return
			}
			defer s.Close()
			id := fmt.Sprint(vm, db, caller, "-", i)
			command := read(id)
			if i%2 == 0 && db != clustertest.BoundedDB {
				command = write(id)
			}
			if i%5 == 0 {
				s.Do(context.Background(), begin())
				if r := s.Do(context.Background(), command); r.Code != chervilladder.CodeNone {
					c.add(db, r)
					return
				}
				command = commit()
			}
			c.add(db, s.Do(context.Background(), command))
		})
		time.Sleep(every)
	}
}

// The primary is cut from a host in each data centre, another host in each is short of
// processor time, and all are asked for work. What some host can run must be served: of
// the most urgent work 99 %. A VM that asked a host by the caller only, and passed its
// refusal on, lost that host's share.
func TestWorkIsPlacedAroundACut(t *testing.T) {
	bubble(t, clustertest.Config{VMs: cutHosts + cutForwarders}, func(is *is.I, w *clustertest.World) {
		setPriorities(w)
		var forwarders []int
		for i := range cutForwarders {
			vm := cutHosts + i
			forwarders = append(forwarders, vm)
			if i%2 == 0 {
				w.ForwardToHosts(vm, 3, 0, 1, 2, 3, 4, 5)
			} else {
				w.ForwardToHosts(vm, 3, 3, 4, 5, 0, 1, 2)
			}
		}
		for _, slow := range []int{1, 4} {
			w.VMs[slow].SlowBy.Store(int64(30 * time.Millisecond))
		}
		play(t, w, forwarders, time.Second)
		for _, cut := range []int{0, 3} {
			w.VMs[cut].Linker.SetUnreachable(true, clustertest.MemberID(0))
		}
		c := play(t, w, forwarders, 10*time.Second)
		for text, n := range c.texts {
			t.Log(n, text)
		}
		t.Log("not served, by second:", c.lostIn)
		for _, db := range []chervilladder.DatabaseID{clustertest.PrimaryDB, clustertest.OwnWritesDB, clustertest.BoundedDB} {
			t.Logf("%s: %d of %d served", db, c.served[db], c.sent[db])
		}
		is.True(c.share(clustertest.PrimaryDB) >= 0.99)
		is.True(c.share(clustertest.OwnWritesDB) >= 0.97)
		is.True(c.share(clustertest.BoundedDB) >= 0.97)
	})
}
