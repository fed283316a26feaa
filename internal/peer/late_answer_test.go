package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// delayed is an executor that answers each batch with its payload, one that begins with s
// after slowAnswer.
type delayed struct{}

const slowAnswer = 50 * time.Millisecond

func (delayed) Open(context.Context, chervilladder.Work) (chervilladder.Exchange, error) {
	return &delayedExchange{}, nil
}

type delayedExchange struct{ payload []byte }

func (x *delayedExchange) Send(b chervilladder.Batch) error {
	x.payload = b.Payload
	return nil
}

func (x *delayedExchange) Recv() (chervilladder.Reply, error) {
	if x.payload[0] == 's' {
		time.Sleep(slowAnswer)
	}
	return chervilladder.Reply{Payload: x.payload, Last: true, Open: true}, nil
}

func (x *delayedExchange) Cancel() {}

func (x *delayedExchange) Close() {}

// The late answer of an exchange that was closed, or cancelled, must reach no other
// exchange on the same connection between two VMs.
func TestLateAnswerOfAClosedExchangeReachesNoOther(t *testing.T) {
	is := is.New(t)
	client, _ := connect(t, ServerConfig{Executor: delayed{}})
	open := func() chervilladder.Exchange {
		x, err := client.Open(t.Context(), "vm-1", chervilladder.Work{Database: "x", Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		return x
	}
	answer := func(x chervilladder.Exchange, text string) {
		is.NoErr(x.Send(chervilladder.Batch{Payload: []byte(text)}))
		r, err := x.Recv()
		is.NoErr(err)
		is.Equal(string(r.Payload), text)
	}
	other := open()
	defer other.Close()
	answer(other, "quick 1")
	closed := open()
	answer(closed, "quick 2")
	is.NoErr(closed.Send(chervilladder.Batch{Payload: []byte("slow 3")}))
	closed.Close()
	answer(other, "slow 4")
	next := open()
	defer next.Close()
	answer(next, "quick 5")
	time.Sleep(2 * slowAnswer) // the late answer has arrived
	answer(next, "quick 6")
	answer(other, "quick 7")
	is.NoErr(next.Send(chervilladder.Batch{Payload: []byte("slow 8")}))
	next.Cancel()
	r, err := next.Recv()
	is.NoErr(err)
	is.Equal(string(r.Payload), "slow 8")
	answer(next, "quick 9")
	_, err = closed.Recv()
	is.True(err != nil)
}
