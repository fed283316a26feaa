package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// holding is an executor whose exchanges stay open after each batch, as in a transaction.
type holding struct{ closed chan struct{} }

func (h holding) Open(context.Context, chervilladder.Work) (chervilladder.Exchange, error) {
	return holdingExchange(h), nil
}

type holdingExchange struct{ closed chan struct{} }

func (x holdingExchange) Send(chervilladder.Batch) error { return nil }

func (x holdingExchange) Recv() (chervilladder.Reply, error) {
	return chervilladder.Reply{Last: true, Open: true}, nil
}

func (x holdingExchange) Cancel() {}

func (x holdingExchange) Close() { x.closed <- struct{}{} }

// A VM that is suspended in the middle of a transaction must not hold the exchange, and
// its slot, for longer than the idle timeout, which is short while the VM is listed as
// dead: three such transactions held all slots of a database.
func TestExchangeOfASuspendedVMEnds(t *testing.T) {
	for name, end := range map[string]func(board *blackboard.Board){
		"idle": func(*blackboard.Board) {},
		"dead": func(board *blackboard.Board) {
			board.Members.Update(func(m blackboard.Membership) blackboard.Membership {
				return blackboard.Membership{Members: map[chervilladder.VMID]blackboard.Member{"vm-2": {State: blackboard.MemberDead}}}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := ServerConfig{Executor: holding{make(chan struct{}, 1)}, IdleTimeout: 200 * time.Millisecond}
			if name == "dead" {
				c.IdleTimeout = time.Hour
			}
			client, host := connect(t, c)
			x, err := client.Open(t.Context(), "vm-1", chervilladder.Work{Database: "x", Deadline: time.Now().Add(time.Minute)})
			is.NoErr(err)
			is.NoErr(x.Send(chervilladder.Batch{}))
			r, err := x.Recv()
			is.NoErr(err)
			is.True(r.Open)
			end(host)
			if name == "dead" {
				is.NoErr(x.Send(chervilladder.Batch{})) // it was only silent, and goes on
				_, err = x.Recv()
				is.NoErr(err)
			}
			select {
			case <-c.Executor.(holding).closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the exchange is still open")
			}
			is.NoErr(x.Send(chervilladder.Batch{}))
			_, err = x.Recv()
			is.True(err != nil)
		})
	}
}
