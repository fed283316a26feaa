package link

import (
	"testing"

	"github.com/matryer/is"
)

// A waiter that gives up just as it is told that a connection may be opened must pass that
// on, or the next waiter waits although one may be opened.
func TestWaiterThatGivesUpWakesTheNext(t *testing.T) {
	is := is.New(t)
	p := &Pool{limit: 1}
	first, second := p.enqueue("a"), p.enqueue("b")
	p.serve(first, grant{})
	p.stopWaiting(first)
	is.Equal(len(second.served), 1)
	is.Equal(len(p.waiters), 0)
}
