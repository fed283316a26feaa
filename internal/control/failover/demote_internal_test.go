package failover

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/chervilladder/chervilladder"
	"github.com/chervilladder/chervilladder/internal/blackboard"
)

// answering is a linker to a member that answers each order with the same status.
type answering struct{ status chervilladder.LinkStatus }

func (a answering) Open(context.Context, chervilladder.Registered, chervilladder.AccountID) (chervilladder.Link, error) {
	return answeringLink{status: a.status}, nil
}

type answeringLink struct {
	chervilladder.Link
	status chervilladder.LinkStatus
}

func (l answeringLink) Send(time.Time, ...chervilladder.Command) error { return nil }

func (l answeringLink) Receive(time.Time) (chervilladder.Result, error) {
	return chervilladder.Result{Rows: []string{"status"}, Signature: chervilladder.NoSignature}, nil
}

func (l answeringLink) DecodeStatus(chervilladder.Result) (chervilladder.LinkStatus, error) {
	return l.status, nil
}

func (l answeringLink) Close() {}

// A member that answers the order to step down and leads on isn't demoted: it may go on
// acknowledging commits.
func TestMemberThatStillLeadsIsNotDemoted(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, leads := range []bool{true, false} {
		linker := answering{chervilladder.LinkStatus{Primary: leads, Term: 3}}
		k := &Controller{c: Config{Board: blackboard.New(chervilladder.VM{ID: "vm"}), Linker: linker, Log: log, Clock: time.Now}}
		r := &replacement{k: k, service: "s", log: log.WithField("service", "s")}
		is.Equal(r.demote(t.Context(), blackboard.MemberObservation{}, 2), !leads)
	}
}
