package intake

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// caller is a holder that releases when it is closed, as a connection's goroutine does.
type caller struct {
	*Holder
	closed bool
}

func newCaller(a *Account) *caller {
	c := new(caller)
	c.Holder = a.NewHolder(func() {
		c.closed = true
		go c.Release()
	})
	return c
}

func TestCallerThatHoldsMostIsClosedFirst(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.SetLimit(100)
	small, large, next := newCaller(a), newCaller(a), newCaller(a)
	is.True(small.Take(30))
	is.True(large.Take(60))
	is.True(next.Take(40))
	is.True(large.closed)
	is.True(!small.closed)
	is.True(!next.Take(50)) // it would hold most itself
	is.Equal(a.Used(), Bytes(70))
}

// Equal callers must not all wait for each other: the one that began first is closed.
func TestOfEqualCallersTheOldestIsClosed(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.SetLimit(100)
	var list []*caller
	for range 4 {
		c := newCaller(a)
		is.True(c.Take(25))
		list = append(list, c)
	}
	newest := newCaller(a)
	is.True(newest.Take(25))
	is.True(list[0].closed && !list[1].closed)
}

func TestPinnedCallerIsNotClosed(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.SetLimit(100)
	running, next := newCaller(a), newCaller(a)
	is.True(running.Take(90))
	is.True(running.Pin())
	is.True(!next.Take(20)) // refused at once: nothing can be freed
	running.Release()
	is.True(next.Take(20))
}

// An answer that the VM holds already is counted, and others make room for it.
func TestAnswersMakeRoom(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.SetLimit(100)
	unread, answer := newCaller(a), newCaller(a)
	unread.TakeAnyway(80)
	answer.TakeAnyway(70)
	is.True(unread.closed && !answer.closed)
}

func TestKeptMemoryLeavesRoomForMessages(t *testing.T) {
	is := is.New(t)
	a := NewAccount()
	a.SetLimit(100)
	is.True(a.Keep(50))
	is.True(!a.Keep(1))
	is.True(newCaller(a).Take(50))
	a.Drop(50)
	is.Equal(a.Used(), Bytes(50))
}

// Whatever callers do, the account keeps its limit and ends empty.
func TestAccountKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount()
		a.SetLimit(100)
		callers := make([]*Holder, 5)
		refused := make([]bool, len(callers))
		for i := range callers {
			callers[i] = a.NewHolder(func() {})
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(callers)-1).Draw(t, fmt.Sprint("caller ", step))
			h := callers[i]
			switch {
			case h.closed, refused[i]:
				h.Release()
				callers[i], refused[i] = a.NewHolder(func() {}), false
			case rapid.Bool().Draw(t, fmt.Sprint("releases ", step)):
				h.Release()
			case a.leaving == 0: // else it would wait for those that are being closed
				n := Bytes(rapid.IntRange(1, 60).Draw(t, fmt.Sprint("bytes ", step)))
				if a.fits(n) {
					refused[i] = !h.Take(n)
				} else {
					a.closeLargestForTest(h, n)
				}
			}
			if a.Used() > a.Limit() {
				t.Fatalf("%d of %d are held", a.Used(), a.Limit())
			}
		}
		for _, h := range callers {
			h.Release()
		}
		if a.Used() != 0 || a.leaving != 0 || len(a.holders) != 0 {
			t.Fatalf("%d are held by nobody, %d of them leaving", a.Used(), a.leaving)
		}
	})
}

// closeLargestForTest closes the caller that holds most as Take does.
func (a *Account) closeLargestForTest(asks *Holder, n Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeLargest(asks, asks.held+n)
}

func TestConnectionsThatAreClosedFirst(t *testing.T) {
	is := is.New(t)
	silent, idle, half := Waiting{PhaseOpening, 9}, Waiting{PhaseIdle, 3}, Waiting{PhaseReading, 1}
	is.True(silent.ClosesBefore(idle))
	is.True(idle.ClosesBefore(half))
	is.True(Waiting{PhaseIdle, 1}.ClosesBefore(idle))
}

// The largest deployments have 4,300 descriptors on their smallest VMs.
func TestDescriptorsAreShared(t *testing.T) {
	is := is.New(t)
	c := ShareDescriptors(4100)
	is.True(c.Callers > 2000)
	is.True(c.Callers+c.Peers+2*c.HTTP < 4100-400)
	is.Equal(ShareDescriptors(0), Connections{})
}
