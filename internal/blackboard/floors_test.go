package blackboard

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// The seed is fixed, so that runs repeat; -rapid.seed on the command line
// takes another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestFloorsKeepWhatSessionsObserved compares floors that are folded at any
// moment with those of sessions that are remembered by name.
func TestFloorsKeepWhatSessionsObserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var floors Floors
		named := make(map[chervilladder.SessionID]Floor)
		var tick Tick
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := chervilladder.SessionID(fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "session")))
			floor := named[id]
			tick++
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				m := chervilladder.Mark{Term: chervilladder.Term(rapid.IntRange(1, 3).Draw(rt, "term")), Position: chervilladder.Position(tick)}
				floors.Wrote(id, m)
				floor.Written = floor.Written.Later(m)
			case 1:
				late := tick - Tick(rapid.IntRange(0, int(tick)).Draw(rt, "late"))
				floors.Lost(id, late)
				floor.Unsure = max(floor.Unsure, late)
			case 2:
				replica := rapid.SampledFrom([]chervilladder.UpstreamID{"b", "c"}).Draw(rt, "replica")
				floors.Read(id, replica, tick)
				floor.Tick, floor.Replica = tick, replica
			case 3:
				floors.shard(id).fold()
			case 4:
				m := chervilladder.Mark{Term: 3, Position: chervilladder.Position(tick)}
				floors.Reset(m)
				clear(named)
				floor = Floor{Written: m}
			}
			named[id] = floor
			for id, floor := range named {
				holds(rt, floors.Get(id), floor)
			}
		}
	})
}

func holds(rt *rapid.T, got, want Floor) {
	switch {
	case !got.Written.Covers(want.Written):
		rt.Fatalf("written %v, want %v", got, want)
	case got.Unsure < want.Unsure:
		rt.Fatalf("unsure %v, want %v", got, want)
	case got.Tick < want.Tick:
		rt.Fatalf("tick %v, want %v", got, want)
	case want.Tick != 0 && got.Replica != "" && got.Replica != want.Replica:
		rt.Fatalf("replica %v, want %v", got, want)
	}
}
