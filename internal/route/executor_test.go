package route

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// owners stands for the other VMs: only one accepts work, and only from a given time.
type owners struct {
	mu      sync.Mutex
	accepts chervilladder.VMID
	from    time.Time
	refused int
}

func (o *owners) Open(_ context.Context, vm chervilladder.VMID, w chervilladder.Work) (chervilladder.Exchange, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if vm == o.accepts && !time.Now().Before(o.from) {
		return done{}, nil
	}
	o.refused++
	return nil, &chervilladder.NotRunError{Database: w.Database, Reason: chervilladder.ReasonNotOwner}
}

// done is an exchange that answers at once.
type done struct{}

func (done) Send(chervilladder.Batch) error     { return nil }
func (done) Recv() (chervilladder.Reply, error) { return chervilladder.Reply{Last: true}, nil }
func (done) Cancel()                            {}
func (done) Close()                             {}

// The owner is lost while 200 requests run, and the next one learns late that it owns
// the database. All requests must be answered, with far fewer refusals than one for
// each request and poll.
func TestRetriesAfterOwnerChangeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		board := blackboard.New(chervilladder.VM{ID: "entry"})
		setOwner := func(vm chervilladder.VMID) {
			board.Owners.Store(blackboard.Owners{ByDatabase: map[chervilladder.DatabaseID]chervilladder.VMID{"ledger": vm}})
		}
		setOwner("lost")
		o := &owners{accepts: "next", from: time.Now().Add(1500 * time.Millisecond)}
		e := New(Config{Board: board, Remote: o})
		var requests sync.WaitGroup
		for range 200 {
			requests.Go(func() {
				x, err := e.Open(t.Context(), chervilladder.Work{Database: "ledger", Deadline: time.Now().Add(4 * time.Second)})
				is.NoErr(err)
				defer x.Close()
				is.NoErr(x.Send(chervilladder.Batch{}))
				_, err = x.Recv()
				is.NoErr(err)
			})
		}
		time.Sleep(time.Second)
		setOwner("next")
		began := time.Now()
		requests.Wait()
		t.Logf("%d refusals, all answered %v after the change of owner", o.refused, time.Since(began))
		is.True(o.refused < 200*10)
	})
}
