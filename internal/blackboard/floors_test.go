package blackboard

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chervilladder/chervilladder"
)

// The seed is fixed, so that runs are reproducible; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestFloorsKeepWhatSessionsObserved guards against a fold or a reset that
// lowers a session's minimum position. It compares Floors that are folded at
// random with a map that keeps an entry for every session.
func TestFloorsKeepWhatSessionsObserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var floors Floors
		exact := make(map[chervilladder.SessionID]Floor)
		var tick Tick
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := chervilladder.SessionID(fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "session")))
			minimum := exact[id]
			tick++
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				m := chervilladder.Mark{Term: chervilladder.Term(rapid.IntRange(1, 3).Draw(rt, "term")), Position: chervilladder.Position(tick)}
				floors.Wrote(id, m)
				minimum.Written = minimum.Written.Later(m)
			case 1:
				earlier := tick - Tick(rapid.IntRange(0, int(tick)).Draw(rt, "earlier"))
				floors.Lost(id, earlier)
				minimum.Unsure = max(minimum.Unsure, earlier)
			case 2:
				replica := rapid.SampledFrom([]chervilladder.UpstreamID{"b", "c"}).Draw(rt, "replica")
				floors.Read(id, replica, tick)
				minimum.Tick, minimum.Replica = tick, replica
			case 3:
				floors.shard(id).fold()
			case 4:
				m := chervilladder.Mark{Term: 3, Position: chervilladder.Position(tick)}
				floors.Reset(m)
				clear(exact)
				minimum = Floor{Written: m}
			}
			exact[id] = minimum
			for id, minimum := range exact {
				checkCovers(rt, floors.Get(id), minimum)
			}
		}
	})
}

func checkCovers(rt *rapid.T, got, want Floor) {
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
