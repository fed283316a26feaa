package upstream

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// TestRefusalAfterSendingIsUnknown checks that a write whose second attempt is
// refused is not reported as not run: the first attempt may have run it.
func TestRefusalAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	refused := &chervilladder.NotRunError{Reason: chervilladder.ReasonOverload}
	x := &exchange{class: &chervilladder.Class{Idempotent: true}, sent: true, state: new(blackboard.Database)}
	var unknown *chervilladder.UnknownError
	is.True(errors.As(x.fail(refused), &unknown)) // sent before
	x = &exchange{class: &chervilladder.Class{}}
	is.Equal(x.fail(refused), error(refused)) // never sent
}
