package upstream

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// A write whose second attempt is refused must not be reported as not run: the first
// attempt may have run it.
func TestRefusalAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	refused := &chervilladder.NotRunError{Reason: chervilladder.ReasonOverload}
	x := &exchange{class: &chervilladder.Class{Idempotent: true}, sent: true, state: new(blackboard.Database)}
	var unknown *chervilladder.UnknownError
	is.True(errors.As(x.fail(refused), &unknown)) // sent before
	x = &exchange{class: &chervilladder.Class{}}
	is.Equal(x.fail(refused), error(refused)) // never sent
}

// A cancel request ends the wait for a slot, and the work is reported as not run.
func TestCancelEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x := &exchange{
			ctx: t.Context(), state: &blackboard.Database{}, waitCancelled: make(chan struct{}),
			work:  chervilladder.Work{Deadline: time.Now().Add(time.Minute)},
			class: &chervilladder.Class{ID: "booking"},
		}
		is.NoErr(x.queue())
		began := time.Now()
		time.AfterFunc(time.Second, x.Cancel)
		var refused *chervilladder.NotRunError
		is.True(errors.As(x.awaitSlot(), &refused))
		is.Equal(refused.Reason, chervilladder.ReasonCancelled)
		is.Equal(time.Since(began), time.Second)
		is.Equal(x.state.Queue.Waiting(), 0) // nothing is left in the queue
	})
}
