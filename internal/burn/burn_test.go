package burn_test

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/burn"
	"github.com/chervilladder/chervilladder/pkg/servicefile"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func catalogue(t testing.TB) *chervilladder.Catalogue {
	t.Helper()
	files, err := servicefile.ReadPaths("../../examples/agenda-salas.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := servicefile.Catalogue(12, files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// recordHour records an hour of events, spread over the VMs. In the last minutes
// confirmations get slow and lookups are refused; a few background jobs fail or
// have an unknown outcome.
func recordHour(c *chervilladder.Catalogue, vms []*burn.Recorder) {
	random := rand.New(rand.NewPCG(1, 2))
	classes := c.Services["agenda-salas"].Classes
	record := func(class chervilladder.ClassID, took time.Duration, result burn.Result) {
		vms[random.IntN(len(vms))].Record(burn.Event{
			Service: "agenda-salas", Class: class, Target: classes[class].Target, Took: took, Result: result,
		})
	}
	for minute := range 60 {
		for n := range 200 {
			took := time.Duration(20+random.IntN(60)) * time.Millisecond
			if minute >= 57 && n%10 == 0 {
				took = time.Duration(300+random.IntN(130)) * time.Millisecond
			}
			record("confirmation", took, burn.Answered)
			if minute >= 56 && n%20 == 0 {
				record("lookup", time.Millisecond, burn.Refused)
			} else {
				record("lookup", took/2, burn.Answered)
			}
		}
		record("background", 2*time.Second, burn.Answered)
		if minute%20 == 3 {
			record("background", time.Second, burn.Unknown)
			record("background", time.Second, burn.Failed)
		}
		if minute < 59 {
			time.Sleep(time.Minute)
		}
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	path := "testdata/" + name
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	if got != string(want) {
		t.Errorf("%s differs; review the change, then rewrite the file with -update; got:\n%s", path, got)
	}
}

func TestReportGolden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalogue(t)
		vms := []*burn.Recorder{{}, {}}
		recordHour(c, vms)
		merged := burn.Merge(vms[1].Snapshot("vm-2", c), vms[0].Snapshot("vm-1", c))
		r := burn.NewReport(merged)
		golden(t, "report.txt", r.Text())
		page, err := r.HTML()
		is.NoErr(err)
		golden(t, "report.html", page)
		data, err := json.MarshalIndent(r, "", "  ")
		is.NoErr(err)
		golden(t, "report.json", string(data)+"\n")
	})
}

// TestMergeIsExact checks that the merged snapshots of several VMs equal the
// snapshot of one VM with all events.
func TestMergeIsExact(t *testing.T) {
	var texts []string
	for _, count := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := catalogue(t)
			vms := make([]*burn.Recorder, count)
			var snapshots []burn.Snapshot
			for i := range vms {
				vms[i] = &burn.Recorder{}
			}
			recordHour(c, []*burn.Recorder{vms[0], vms[count/2], vms[count-1]})
			for i, vm := range vms {
				s := vm.Snapshot(chervilladder.VMID(rune('a'+i)), c)
				data, err := json.Marshal(s)
				is.NoErr(err)
				var decoded burn.Snapshot
				is.NoErr(json.Unmarshal(data, &decoded))
				snapshots = append(snapshots, decoded, decoded) // a second snapshot of a VM is ignored
			}
			merged := burn.Merge(snapshots...)
			is.Equal(len(merged.VMs), count)
			merged.VMs = nil
			data, err := json.Marshal(merged)
			is.NoErr(err)
			texts = append(texts, string(data))
		})
	}
	is.New(t).Equal(texts[0], texts[1])
}

func TestWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalogue(t)
		var r burn.Recorder
		totals := func() (short, long uint64) {
			for _, class := range r.Snapshot("vm-1", c).Classes {
				short += class.Short.Counts.Total()
				long += class.Long.Counts.Total()
			}
			return short, long
		}
		event := burn.Event{Service: "agenda-salas", Class: "lookup", Target: time.Second, Took: time.Second}
		r.Record(event)
		for _, step := range []struct {
			wait        time.Duration
			short, long uint64
		}{{0, 1, 1}, {4 * time.Minute, 1, 1}, {time.Minute, 0, 1}, {54 * time.Minute, 0, 1}, {time.Minute, 0, 0}} {
			time.Sleep(step.wait)
			short, long := totals()
			is.Equal([]uint64{short, long}, []uint64{step.short, step.long})
		}
		r.Record(event)
		delete(c.Services["agenda-salas"].Classes, "lookup")
		_, long := totals()
		is.Equal(long, uint64(0)) // the class is no longer in the catalogue
	})
}

func TestConcurrentRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalogue(t)
		var r burn.Recorder
		var group sync.WaitGroup
		const goroutines, events = 8, 1000
		for range goroutines {
			group.Go(func() {
				for n := range events {
					r.Record(burn.Event{
						Service: "agenda-salas", Class: "lookup", Target: time.Second,
						Took: time.Duration(n) * 7 * time.Millisecond, Result: burn.Result(n % 4),
					})
					if n%100 == 0 {
						time.Sleep(30 * time.Second)
					}
				}
			})
		}
		group.Wait()
		for _, class := range r.Snapshot("vm-1", c).Classes {
			if class.Class != "lookup" {
				continue
			}
			is.Equal(class.Long.Counts.Total(), uint64(goroutines*events))
			is.Equal(class.Long.Times.Count(), int64(goroutines*events/4))
			is.Equal(class.Long.Counts.Good, uint64(goroutines*36)) // n*7 ms <= 1 s for n = 0, 4, …, 140
			return
		}
		t.Fatal("no class lookup")
	})
}

func TestObjectiveWithoutBudget(t *testing.T) {
	is := is.New(t)
	s := burn.Snapshot{Classes: []burn.ClassSnapshot{{
		Service: "s", Class: "c", TargetSeconds: 1, ObjectivePercent: 100,
		Short: burn.Window{Counts: burn.Counts{Good: 9, Refused: 1}},
	}}}
	c := burn.NewReport(s).Classes[0]
	is.Equal(c.Short.BurnRate, 1000.0)
	is.Equal(c.State, burn.StateBurning)
}

func BenchmarkRecord(b *testing.B) {
	var r burn.Recorder
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		e := burn.Event{Service: "agenda-salas", Class: "lookup", Target: time.Second}
		for pb.Next() {
			e.Took += 100 * time.Microsecond
			if e.Took > 50*time.Millisecond {
				e.Took = 0
			}
			r.Record(e)
		}
	})
}

// Of two snapshots of a VM the newer one must count, in whatever order they are given.
func TestMergeUsesTheNewestSnapshotOfAVM(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)
	older := burn.Snapshot{VMs: []chervilladder.VMID{"a"}, Revision: 3, Taken: at}
	newer := burn.Snapshot{VMs: []chervilladder.VMID{"a"}, Revision: 4, Taken: at.Add(time.Minute)}
	sameRevision := burn.Snapshot{VMs: []chervilladder.VMID{"a"}, Revision: 4, Taken: at.Add(2 * time.Minute)}
	is.Equal(burn.Merge(older, newer).Revision, newer.Revision)
	is.Equal(burn.Merge(newer, older).Revision, newer.Revision)
	is.Equal(burn.Merge(sameRevision, older, newer).Taken, sameRevision.Taken)
}
