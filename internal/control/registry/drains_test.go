package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

const drainBound = 7 * time.Second

func primary(u *chervilladder.Registered) { u.Primary = true }

// bubbleWithDrain is bubble with the bound of a drain and the blackboard.
func bubbleWithDrain(t *testing.T, f func(is *is.I, s source, board *blackboard.Board, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream)) {
	t.Helper()
	bubbleWithBoard(t, func(is *is.I, s source, board *blackboard.Board) {
		board.Bounds.Store(chervilladder.Bounds{UpstreamDrain: drainBound})
		f(is, s, board, func() map[chervilladder.UpstreamID]blackboard.KnownUpstream { return knownOn(board) })
	})
}

// A VM that starts while a primary drains doesn't know since when. It must not count the
// drain from its own start: that ends after the primary (regression: review/9).
func TestDrainThatIsFoundAtTheStartCountsAsOverUntilAPeerTellsItsBegin(t *testing.T) {
	bubbleWithDrain(t, func(is *is.I, s source, board *blackboard.Board, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		a := upstream("a", draining, primary)
		s.answers <- answer{list: []chervilladder.Registered{a, upstream("b")}}
		is.True(known()["a"].DrainAssumed)
		is.True(time.Since(known()["a"].DrainingSince) >= drainBound)
		is.True(board.Upstreams.Load().AskDrainsUntil.After(time.Now()))

		began := time.Now().Add(-2 * time.Second)
		before := blackboard.Drain{Born: a.Born.Add(-time.Hour), Since: time.Now()} // of an earlier start
		board.PeerKnowledge.Store(blackboard.Knowledge{Drains: map[chervilladder.UpstreamID]blackboard.Drain{"a": before}})
		is.True(known()["a"].DrainAssumed)
		board.PeerKnowledge.Store(blackboard.Knowledge{Drains: map[chervilladder.UpstreamID]blackboard.Drain{"a": {Born: a.Born, Since: began}}})
		is.True(!known()["a"].DrainAssumed)
		is.Equal(known()["a"].DrainingSince, began)
		is.True(board.Upstreams.Load().AskDrainsUntil.IsZero())
	})
}

// A VM that has lost the store for some time learns of a drain by its next list. The drain
// may have begun right after the last answer.
func TestDrainThatIsFoundAfterAGapCountsFromTheLastAnswer(t *testing.T) {
	bubbleWithDrain(t, func(is *is.I, s source, _ *blackboard.Board, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a", primary)}}
		is.True(!known()["a"].Draining)
		lastAnswer := time.Now()
		time.Sleep(4 * time.Second)
		s.answers <- answer{err: errDown}
		time.Sleep(time.Second)
		s.answers <- answer{list: []chervilladder.Registered{upstream("a", draining, primary)}}
		is.Equal(known()["a"].DrainingSince, lastAnswer)
		is.True(!known()["a"].DrainAssumed)
	})
}

// The store comes back from a copy in which a draining upstream is ready, or one that has
// left is registered. The drain goes on from its begin.
func TestDrainThatACopyOfTheStoreHasForgottenGoesOn(t *testing.T) {
	bubbleWithDrain(t, func(is *is.I, s source, _ *blackboard.Board, known func() map[chervilladder.UpstreamID]blackboard.KnownUpstream) {
		s.answers <- answer{list: []chervilladder.Registered{upstream("a", primary)}}
		s.answers <- changed(upstream("a", draining, primary))
		began := known()["a"].DrainingSince
		is.True(!began.IsZero())
		time.Sleep(2 * time.Second)
		s.answers <- changed(upstream("a", primary))
		is.Equal(known()["a"].DrainingSince, began)
		is.True(known()["a"].Draining)
		s.answers <- removed("a")
		is.Equal(len(known()), 0)
		time.Sleep(2 * time.Second)
		s.answers <- changed(upstream("a", primary))
		is.Equal(known()["a"].DrainingSince, began)
		again := upstream("a", primary)
		again.Born = again.Born.Add(time.Hour)
		s.answers <- changed(again) // started again under its id
		is.True(!known()["a"].Draining)
	})
}
