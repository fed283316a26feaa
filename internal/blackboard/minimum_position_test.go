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

// TestMinimumPositionsKeepWhatSessionsObserved guards against a fold or a reset
// that lowers a session's minimum position. It compares MinimumPositions that
// are folded at random with a map that keeps an entry for every session.
func TestMinimumPositionsKeepWhatSessionsObserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var minimums MinimumPositions
		exact := make(map[chervilladder.SessionID]MinimumPosition)
		var poll PollNumber
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := chervilladder.SessionID(fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "session")))
			minimum := exact[id]
			poll++
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				m := chervilladder.Mark{Term: chervilladder.Term(rapid.IntRange(1, 3).Draw(rt, "term")), Position: chervilladder.Position(poll)}
				minimums.Wrote(id, m)
				minimum.Written = minimum.Written.Later(m)
			case 1:
				earlier := poll - PollNumber(rapid.IntRange(0, int(poll)).Draw(rt, "earlier"))
				minimums.WroteUnknown(id, earlier)
				minimum.UnknownWritePoll = max(minimum.UnknownWritePoll, earlier)
			case 2:
				replica := rapid.SampledFrom([]chervilladder.UpstreamID{"b", "c"}).Draw(rt, "replica")
				minimums.Read(id, replica, poll)
				minimum.ReadPoll, minimum.Replica = poll, replica
			case 3:
				minimums.shard(id).fold()
			case 4:
				m := chervilladder.Mark{Term: 3, Position: chervilladder.Position(poll)}
				minimums.Reset(m)
				clear(exact)
				minimum = MinimumPosition{Written: m}
			}
			exact[id] = minimum
			for id, minimum := range exact {
				checkCovers(rt, minimums.Get(id), minimum)
			}
		}
	})
}

func checkCovers(rt *rapid.T, got, want MinimumPosition) {
	switch {
	case !got.Written.Covers(want.Written):
		rt.Fatalf("written %v, want %v", got, want)
	case got.UnknownWritePoll < want.UnknownWritePoll:
		rt.Fatalf("unknown write poll %v, want %v", got, want)
	case got.ReadPoll < want.ReadPoll:
		rt.Fatalf("read poll %v, want %v", got, want)
	case want.ReadPoll != 0 && got.Replica != "" && got.Replica != want.Replica:
		rt.Fatalf("replica %v, want %v", got, want)
	}
}
